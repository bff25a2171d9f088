package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.HostedModel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the planner under the workloads that it is designed for. */
class ModelPlannerTest {

  private static final int ENGINES = 6;
  private static final int MODELS = 30;

  private final ModelPlanner planner = ModelPlanner.create();
  private final Map<String, Set<String>>[] loadedModels = newLoadedModels();
  private final Map<String, PlanInput.DemandSummary> demands = new HashMap<>();
  private final List<PlanInput.AdapterDemand> adapterDemands = new ArrayList<>();
  private final Map<String, Integer>[] running = newRunning();
  private Set<String> onEveryDisk = Set.of();
  private List<String> idleAdapters = List.of();
  private Set<String> leavingModels = Set.of();
  private final Map<String, Set<String>> onDisk = new HashMap<>();

  @SuppressWarnings("unchecked")
  private static Map<String, Set<String>>[] newLoadedModels() {
    Map<String, Set<String>>[] all = new Map[ENGINES];
    for (int i = 0; i < ENGINES; i++) {
      all[i] = new TreeMap<>();
    }
    return all;
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Integer>[] newRunning() {
    Map<String, Integer>[] all = new Map[ENGINES];
    for (int i = 0; i < ENGINES; i++) {
      all[i] = new HashMap<>();
    }
    return all;
  }

  private static EngineSpec spec() {
    List<HostedModel> models =
        IntStream.range(0, MODELS)
            .mapToObj(
                i ->
                    new HostedModel(
                        "m" + i,
                        70,
                        Duration.ofSeconds(6),
                        Duration.ofMillis(840),
                        Duration.ofMillis(630),
                        i == 0 ? 20 : 0,
                        1))
            .toList();
    return new EngineSpec(32, 100_000, 200, 8, 6.7, models);
  }

  private Plan plan(int storeLoads) {
    List<PlanInput.Engine> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      engines.add(
          new PlanInput.Engine(
              "e" + i,
              "a",
              true,
              loadedModels[i],
              loadedModels[i],
              "",
              LoadSource.MEMORY,
              0,
              Set.of(),
              onDisk.getOrDefault("e" + i, onEveryDisk),
              running[i],
              Set.of(),
              idleAdapters));
    }
    return planner.plan(
        new PlanInput(
            spec(), engines, demands, adapterDemands, storeLoads, 4, true, leavingModels));
  }

  private void load(int engine, String... models) {
    for (String model : models) {
      loadedModels[engine].put(model, Set.of());
    }
  }

  private static PlanInput.DemandSummary waiting(int count) {
    return new PlanInput.DemandSummary(count, count, 5_000, 0.5, 0);
  }

  @Test
  void modelOnOneDiskIsLoadedFromThereAndNotFromTheStore() {
    onEveryDisk = Set.of("m5");
    demands.put("m5", waiting(1));
    Plan plan = plan(4);
    assertThat(plan.orders()).hasSize(1);
    assertThat(plan.orders().getFirst().order())
        .isEqualTo(new FleetOrder.LoadModel("m5", LoadSource.DISK));
  }

  @Test
  void busyWeightStoreYieldsForecastsForWaitingModels() {
    demands.put("m5", waiting(2));
    demands.put("m6", waiting(1));
    Plan plan = plan(4);
    assertThat(plan.orders()).isEmpty();
    Map<String, Long> forecasts = new HashMap<>();
    plan.forecasts().forEach(each -> forecasts.put(each.model(), each.startsInMillis()));
    assertThat(forecasts.get("m5")).isAtLeast(6_000L);
    assertThat(forecasts.get("m6")).isGreaterThan(forecasts.get("m5"));
  }

  @Test
  void modelWithRunningRequestsIsNeverEvicted() {
    for (int i = 0; i < ENGINES; i++) {
      load(i, "m" + (10 + i), "m" + (20 + i));
      running[i].put("m" + (10 + i), 3);
    }
    onEveryDisk = Set.of("m5");
    demands.put("m5", waiting(1));
    Plan plan = plan(0);
    Plan.PlannedOrder first = plan.orders().getFirst();
    assertThat(first.order()).isInstanceOf(FleetOrder.UnloadModel.class);
    assertThat(first.order().model()).startsWith("m2");
  }

  @Test
  void clearedEngineGetsTheModelThatItWasClearedFor() {
    for (int i = 0; i < ENGINES; i++) {
      load(i, "m" + (10 + i), "m" + (20 + i));
    }
    onEveryDisk = Set.of("m5");
    demands.put("m5", waiting(1));
    Plan.PlannedOrder cleared = plan(4).orders().getFirst();
    int engine = Integer.parseInt(cleared.runner().substring(1));
    loadedModels[engine].remove(cleared.order().model());
    demands.put("m6", waiting(9));
    onEveryDisk = Set.of("m5", "m6");
    Plan next = plan(4);
    assertThat(next.orders())
        .contains(
            new Plan.PlannedOrder(
                cleared.runner(),
                new FleetOrder.LoadModel("m5", LoadSource.DISK),
                "engine was cleared for this model"));
  }

  /**
   * Guards against two orders to one engine in the same plan: the answer to the first one was
   * dropped, and a refused unload was counted as done.
   */
  @Test
  void clearedEngineGetsOneOrderWhenAnAdapterIsRequestedToo() {
    makeOnlyFirstEngineEvictableForM5();
    assertThat(plan(4).orders())
        .containsExactly(
            new Plan.PlannedOrder(
                "e0", new FleetOrder.UnloadModel("m20"), "frees capacity for m5"));
    loadedModels[0].remove("m20");
    adapterDemands.add(new PlanInput.AdapterDemand("m0", "a1", 1, 400));
    assertThat(plan(4).orders())
        .containsExactly(
            new Plan.PlannedOrder(
                "e0", new FleetOrder.LoadAdapter("m0", "a1"), "requests are waiting"));
    adapterDemands.clear();
    assertThat(plan(4).orders())
        .containsExactly(
            new Plan.PlannedOrder(
                "e0",
                new FleetOrder.LoadModel("m5", LoadSource.DISK),
                "engine was cleared for this model"));
  }

  /**
   * Guards against a cleared engine that never gets its model because adapters of a model with many
   * of them are swapped continually.
   */
  @Test
  void clearedEngineGetsItsModelAfterTwoOrdersForAdapters() {
    makeOnlyFirstEngineEvictableForM5();
    assertThat(plan(4).orders().getFirst().order()).isEqualTo(new FleetOrder.UnloadModel("m20"));
    loadedModels[0].remove("m20");
    List<FleetOrder> ordered = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      adapterDemands.clear();
      adapterDemands.add(new PlanInput.AdapterDemand("m0", "a" + i, 1, 400));
      plan(4).orders().forEach(placed -> ordered.add(placed.order()));
    }
    assertThat(ordered)
        .containsExactly(
            new FleetOrder.LoadAdapter("m0", "a1"),
            new FleetOrder.LoadAdapter("m0", "a2"),
            new FleetOrder.LoadModel("m5", LoadSource.DISK),
            new FleetOrder.LoadModel("m5", LoadSource.DISK))
        .inOrder();
  }

  private void makeOnlyFirstEngineEvictableForM5() {
    load(0, "m0", "m20");
    running[0].put("m0", 1);
    for (int i = 1; i < ENGINES; i++) {
      load(i, "m" + (10 + i), "m" + (20 + i));
      running[i].putAll(Map.of("m" + (10 + i), 1, "m" + (20 + i), 1));
    }
    onEveryDisk = Set.of("m5");
    demands.put("m5", waiting(1));
  }

  @Test
  void modelWithManyRequestsGetsMoreReplicas() {
    load(0, "m0");
    onEveryDisk = Set.of("m0");
    running[0].put("m0", 30);
    demands.put("m0", new PlanInput.DemandSummary(0, 0, Long.MAX_VALUE, 12, 30));
    Plan plan = plan(4);
    assertThat(plan.orders())
        .contains(
            new Plan.PlannedOrder(
                plan.orders().getFirst().runner(),
                new FleetOrder.LoadModel("m0", LoadSource.DISK),
                "more replicas needed"));
    assertThat(plan.orders().getFirst().runner()).isNotEqualTo("e0");
  }

  @Test
  void modelsArePrefetchedBeforeAnyRequest() {
    Plan plan = plan(0);
    assertThat(plan.orders()).hasSize(4);
    assertThat(plan.orders().stream().map(Plan.PlannedOrder::runner).distinct().count())
        .isEqualTo(4);
  }

  @Test
  void adapterThatWasLoadedOneMomentAgoIsKept() {
    loadedModels[0].put("m0", Set.of("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"));
    adapterDemands.add(new PlanInput.AdapterDemand("m0", "a9", 1, 400));
    demands.put("m0", new PlanInput.DemandSummary(1, 1, 400, 0.5, 8));
    assertThat(ordersFor("m0")).isEmpty();
    idleAdapters = List.of("m0/a3");
    assertThat(ordersFor("m0")).containsExactly(new FleetOrder.UnloadAdapter("m0", "a3"));
  }

  private List<FleetOrder> ordersFor(String model) {
    return plan(4).orders().stream()
        .map(Plan.PlannedOrder::order)
        .filter(order -> order.model().equals(model))
        .toList();
  }

  @Test
  void noEngineIsOrderedToHoldMoreThanFits() {
    for (int i = 0; i < ENGINES; i++) {
      load(i, "m" + (10 + i), "m" + (20 + i));
      running[i].put("m" + (10 + i), 1);
      running[i].put("m" + (20 + i), 1);
    }
    onEveryDisk = Set.of("m5");
    demands.put("m5", waiting(9));
    assertThat(plan(0).orders()).isEmpty();
  }

  /**
   * A leaving runner still serves; a model that only it holds is loaded elsewhere in the meantime.
   */
  @ParameterizedTest
  @CsvSource({"0.5, 1", "0, 0"})
  void modelOfOneLeavingRunnerIsLoadedElsewhereIfItIsAskedFor(double perSecond, int loads) {
    leavingModels = Set.of("m7");
    onEveryDisk = Set.of("m7");
    demands.put("m7", new PlanInput.DemandSummary(0, 0, Long.MAX_VALUE, perSecond, 1));
    assertThat(
            plan(4).orders().stream()
                .filter(planned -> planned.order() instanceof FleetOrder.LoadModel)
                .filter(planned -> planned.order().model().equals("m7"))
                .toList())
        .hasSize(loads);
  }

  /**
   * Guards against adapters that starve: while models are swapped on all engines, requests for
   * adapters of the most requested model waited until no request waited for a model.
   */
  @Test
  void adapterIsLoadedBeforeTheModelsOfItsEngine() {
    onEveryDisk = Set.of("m5", "m6", "m7", "m8", "m9", "m10", "m11");
    load(0, "m0", "m1");
    for (int model = 5; model < 12; model++) {
      demands.put("m" + model, new PlanInput.DemandSummary(1, 1, 4_000, 0.1, 0));
    }
    adapterDemands.add(new PlanInput.AdapterDemand("m0", "a9", 1, 4_000));
    assertThat(
            plan(4).orders().stream()
                .filter(planned -> planned.runner().equals("e0"))
                .map(Plan.PlannedOrder::order)
                .toList())
        .containsExactly(new FleetOrder.LoadAdapter("m0", "a9"));
  }

  /** A second copy of an adapter takes one of the few slots from another adapter. */
  @ParameterizedTest
  @CsvSource({"3, 0", "32, 1"})
  void adapterIsLoadedOnSecondEngineOnlyWhenTheFirstIsFull(int requests, int loads) {
    loadedModels[0].put("m0", Set.of("a9"));
    running[0].put("m0", requests);
    loadedModels[1].put("m0", Set.of());
    adapterDemands.add(new PlanInput.AdapterDemand("m0", "a9", 1, 4_000));
    demands.put("m0", new PlanInput.DemandSummary(1, 1, 4_000, 0.5, requests));
    assertThat(ordersFor("m0").stream().filter(FleetOrder.LoadAdapter.class::isInstance).toList())
        .hasSize(loads);
  }

  /**
   * Guards against replicas that cost too much: with rarely used models on the disks of all engines
   * and the most requested model on few, each further replica of the latter kept an engine from the
   * rarely used models for nine seconds.
   */
  @ParameterizedTest
  @CsvSource({"24, 20, 0", "60, 20, 1", "24, 30, 1"})
  void replicaFromTheStoreIsLoadedOnlyForFullEngines(int requests, double perSecond, int loads) {
    for (int i = 0; i < 2; i++) {
      loadedModels[i].put("m1", Set.of());
      running[i].put("m1", requests / 2);
    }
    demands.put("m1", new PlanInput.DemandSummary(0, 0, Long.MAX_VALUE, perSecond, requests));
    assertThat(
            plan(0).orders().stream()
                .filter(planned -> planned.order().model().equals("m1"))
                .toList())
        .hasSize(loads);
  }

  @Test
  void loadFromTheStoreGoesToTheEngineWithFewestExclusiveModels() {
    onEveryDisk = Set.of();
    for (int i = 0; i < ENGINES; i++) {
      onDisk.put("e" + i, i == 4 ? Set.of("m20") : Set.of("m" + (2 * i + 5), "m" + (2 * i + 6)));
    }
    demands.put("m29", new PlanInput.DemandSummary(1, 1, 4_000, 0.1, 0));
    assertThat(
            plan(0).orders().stream()
                .filter(planned -> planned.order().model().equals("m29"))
                .map(Plan.PlannedOrder::runner)
                .toList())
        .containsExactly("e4");
  }
}
