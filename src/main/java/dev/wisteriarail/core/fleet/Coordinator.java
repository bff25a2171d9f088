package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.HostedModel;
import dev.wisteriarail.core.route.ServicePool;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The duty of the node that gives orders to engines: it merges what all nodes want, keeps the state
 * of every engine, and says which order goes out next.
 *
 * <p>Every node has one, idle unless the node holds the lease, so that a new holder starts from the
 * same directory as the one before.
 *
 * <p>Life cycle: one per run of a node; {@link #reset} when the node gains or loses the lease. Not
 * thread-safe.
 */
public final class Coordinator {

  /** Reports of a node that was not heard for this long no longer count. */
  private static final Duration NODE_SILENCE = Duration.ofMillis(1500);

  /** Pause between two questions to an engine about an order in progress. */
  private static final Duration REPORT_PAUSE = Duration.ofMillis(100);

  /** Pause between two questions to an engine about which nothing is open. */
  private static final Duration REPORT_IDLE_PAUSE = Duration.ofMillis(1500);

  /** Time that an adapter takes to load; some milliseconds, and up to the first other order. */
  private static final Duration ADAPTER_LOAD = Duration.ofMillis(12);

  /** Time after which the unloading of a model without requests is taken as done. */
  private static final Duration IDLE_UNLOAD = Duration.ofMillis(60);

  /** Time after its load in which the requests that wanted an adapter reach its engine. */
  private static final Duration ADAPTER_KEEP = Duration.ofMillis(400);

  /** Change of the requests on an engine, as a share of them, that is told to the nodes. */
  private static final double TOLD_DIFFERENCE = 0.15;

  private final Map<String, EngineState> engines = new TreeMap<>();
  private final Map<String, String> serviceOf = new HashMap<>();
  private final Map<String, ModelPlanner> planners = new HashMap<>();
  private final Map<String, Instant> askedAt = new HashMap<>();
  private final Map<Long, Long> storeLoadsAtBegin = new HashMap<>();
  private final DemandBook demand = new DemandBook();
  private final UseBook uses = new UseBook();
  private final StoreLoads storeLoads = new StoreLoads();
  private final InheritedLoads inherited = new InheritedLoads();
  private final Map<String, Integer> toldRunning = new HashMap<>();
  private final Map<String, Set<String>> leaving = new HashMap<>();
  private List<ModelForecast> forecasts = List.of();
  private List<Plan.Placed> withheld = List.of();
  private long nextOrder = 1;
  private long revision;
  private long heldRevision;
  private Predicate<String> quiet = runner -> false;
  private Predicate<String> orderable = runner -> true;

  private Coordinator() {}

  /** Returns a coordinator that knows no engine. */
  public static Coordinator create() {
    return new Coordinator();
  }

  /** Forgets all engines; they are known anew from the directory and their reports. */
  public void reset() {
    engines.clear();
    planners.clear();
    askedAt.clear();
    forecasts = List.of();
  }

  /**
   * Takes what the holder of the lease before left.
   *
   * @param left the loads that it began
   * @param knownQuiet tells runners that had no order lately
   */
  public void inherit(LoadHistory left, Predicate<String> knownQuiet, Instant now) {
    inherited.begin(left.underWay(), now);
    storeLoads.addEarlier(left.storeLoadAgesMillis(), now);
    quiet = knownQuiet;
  }

  /** Starts the numbers of views above those of any coordinator before. */
  public void startRevisionsAt(long least) {
    revision = Math.max(revision, least);
  }

  // Input

  /** Takes what a node's callers want and where its requests run. */
  public void acceptDemand(
      String node,
      long incarnation,
      List<ModelDemand> demands,
      List<RunnerUse> nodeUses,
      Instant now) {
    demand.accept(node, incarnation, demands, now);
    uses.accept(node, nodeUses, now);
  }

  /** Takes the directory: the engines that exist. */
  public void sync(GatewayConfiguration configuration, RunnerDirectory directory, Instant now) {
    Set<String> seen = new HashSet<>();
    for (RunnerEntry entry : directory.usable()) {
      if (configuration.engineOf(entry.service()).isEmpty()) {
        continue;
      }
      seen.add(entry.id());
      EngineState known = engines.get(entry.id());
      if (known == null || isLaterRun(entry, known)) {
        EngineState engine =
            quiet.test(entry.id()) ? EngineState.quiet(entry, now) : EngineState.of(entry, now);
        reviseHeld(engine);
        engines.put(entry.id(), engine);
        serviceOf.put(entry.id(), entry.service());
      } else if (known.acceptEntry(entry)) {
        reviseHeld(known);
      }
    }
    leaving.clear();
    for (RunnerEntry entry : directory.leaving()) {
      Set<String> models = leaving.computeIfAbsent(entry.service(), name -> new HashSet<>());
      entry.models().forEach(model -> models.add(model.name()));
    }
    engines.keySet().retainAll(seen);
    serviceOf.keySet().retainAll(seen);
    askedAt.keySet().retainAll(seen);
    toldRunning.keySet().retainAll(seen);
    quiet = runner -> false;
  }

  private static boolean isLaterRun(RunnerEntry entry, EngineState known) {
    return entry.bornMillis() > known.bornMillis();
  }

  /** Takes an engine's report. */
  public void acceptReport(
      RunnerReport report, Instant asked, GatewayConfiguration configuration, Instant now) {
    EngineState engine = engines.get(report.runner());
    if (engine == null) {
      return;
    }
    Optional<OpenOrder> before = engine.open();
    if (engine.acceptReport(report, asked, now)) {
      reviseHeld(engine);
    }
    if (before.isPresent() && engine.open().isEmpty()) {
      learnLoad(engine, before.get(), configuration, now);
    }
  }

  private void learnLoad(
      EngineState engine, OpenOrder order, GatewayConfiguration configuration, Instant now) {
    Long atOnce = storeLoadsAtBegin.remove(order.number());
    boolean done = engine.models().containsKey(order.body().model());
    if (atOnce == null || !done) {
      return;
    }
    model(configuration, engine.runner(), order.body().model())
        .ifPresent(
            model ->
                storeLoads.finish(
                    Duration.between(order.sentAt(), now),
                    model.loadFromStore(),
                    atOnce.intValue(),
                    now));
  }

  /** Takes the answer to an order. */
  public void acceptOutcome(String runner, long number, FleetOrderOutcome outcome, Instant now) {
    EngineState engine = engines.get(runner);
    if (engine != null) {
      engine.finish(number, outcome, now);
      reviseHeld(engine);
    }
  }

  // Decisions

  /**
   * Returns the orders to send now.
   *
   * @param mayOrder tells runners that orders may go to
   */
  public List<NumberedOrder> decide(
      GatewayConfiguration configuration, Predicate<String> mayOrder, Instant now) {
    orderable = mayOrder;
    for (EngineState engine : engines.values()) {
      if (engine.advance(now)) {
        reviseHeld(engine);
      }
    }
    demand.forgetBefore(now.minus(NODE_SILENCE));
    uses.forgetBefore(now.minus(NODE_SILENCE));
    Map<DemandKey, DemandBook.Want> wants = demand.wants();
    Map<String, UseBook.Load> loads = uses.loads();
    loads.forEach((runner, load) -> touchAdapters(runner, load, now));
    List<NumberedOrder> orders = new ArrayList<>();
    List<Plan.Placed> beyondRoom = new ArrayList<>();
    List<ModelForecast> planned = new ArrayList<>();
    for (ServicePool service : configuration.services().values()) {
      if (service.engine().isEmpty()) {
        continue;
      }
      PlanInput input = input(service.name(), service.engine().get(), wants, loads, now);
      Plan plan =
          planners.computeIfAbsent(service.name(), name -> ModelPlanner.create()).plan(input);
      if (!plan.orders().isEmpty()) {
        RoomRules rules = RoomRules.of(input.spec());
        for (Plan.Placed placed : plan.orders()) {
          EngineState engine = engines.get(placed.runner());
          if (engine.open().isPresent() || !rules.allow(placed.order(), engine.room())) {
            beyondRoom.add(placed);
          } else {
            orders.add(begin(placed, service.engine().get(), loads.get(placed.runner()), now));
          }
        }
      }
      for (Plan.Forecast forecast : plan.forecasts()) {
        planned.add(
            new ModelForecast(service.name(), forecast.model(), "", forecast.startsInMillis()));
      }
    }
    forecasts = planned;
    withheld = beyondRoom;
    return orders;
  }

  /**
   * Tells the waiting requests how long no model or adapter can be loaded, while no order may go
   * out yet.
   *
   * @param blocked time until the first order
   */
  public void forecastBlocked(GatewayConfiguration configuration, Duration blocked, Instant now) {
    demand.forgetBefore(now.minus(NODE_SILENCE));
    Set<DemandKey> held = new HashSet<>();
    for (EngineState engine : engines.values()) {
      String service = serviceOf.get(engine.runner());
      engine
          .models()
          .forEach(
              (model, adapters) -> {
                held.add(DemandKey.of(service, model));
                adapters.forEach(each -> held.add(new DemandKey(service, model, each)));
              });
    }
    List<ModelForecast> late = new ArrayList<>();
    for (DemandKey key : demand.wants().keySet()) {
      if (!held.contains(key) && configuration.engineOf(key.service()).isPresent()) {
        late.add(new ModelForecast(key.service(), key.model(), key.adapter(), blocked.toMillis()));
      }
    }
    forecasts = late;
  }

  private void touchAdapters(String runner, UseBook.Load load, Instant now) {
    EngineState engine = engines.get(runner);
    if (engine == null) {
      return;
    }
    load.adapters().forEach(adapter -> engine.touchAdapter(adapter, now));
  }

  private NumberedOrder begin(Plan.Placed placed, EngineSpec spec, UseBook.Load use, Instant now) {
    EngineState engine = engines.get(placed.runner());
    engine.markIdleUnload(
        use == null || use.byModel().getOrDefault(placed.order().model(), 0) == 0);
    long number = nextOrder++;
    final long expected = engine.orders();
    final OrderBasis basis = engine.basis(now);
    engine.begin(number, placed.order(), expectedTime(placed.order(), spec), now);
    reviseHeld(engine);
    if (placed.order() instanceof FleetOrder.LoadModel load && load.source() == LoadSource.STORE) {
      storeLoads.begin(now);
      storeLoadsAtBegin.put(number, (long) countStoreLoads(serviceOf.get(placed.runner()), now));
    }
    return new NumberedOrder(
        number,
        placed.runner(),
        engine.bornMillis(),
        expected,
        placed.order(),
        placed.reason(),
        basis);
  }

  private static Duration expectedTime(FleetOrder order, EngineSpec spec) {
    return switch (order) {
      case FleetOrder.LoadModel load ->
          spec.models().stream()
              .filter(model -> model.name().equals(load.model()))
              .findFirst()
              .map(model -> model.loadFrom(load.source()))
              .orElse(Duration.ZERO);
      case FleetOrder.UnloadModel unload -> IDLE_UNLOAD;
      case FleetOrder.LoadAdapter load -> ADAPTER_LOAD;
      case FleetOrder.UnloadAdapter unload -> Duration.ZERO;
    };
  }

  private PlanInput input(
      String service,
      EngineSpec spec,
      Map<DemandKey, DemandBook.Want> wants,
      Map<String, UseBook.Load> loads,
      Instant now) {
    List<PlanInput.Engine> known = new ArrayList<>();
    for (EngineState engine : engines.values()) {
      if (service.equals(serviceOf.get(engine.runner())) && !engine.isSilent(now)) {
        known.add(planned(engine, loads.get(engine.runner()), now));
      }
    }
    return new PlanInput(
        spec,
        known,
        demand.needs(service, spec, wants, known, now),
        DemandBook.adapterWants(service, wants),
        countStoreLoads(service, now),
        storeLoads.limit(),
        storeLoads.allows(spec.loadsPerSecond(), now),
        leaving.getOrDefault(service, Set.of()));
  }

  private PlanInput.Engine planned(EngineState engine, UseBook.Load load, Instant now) {
    final Optional<LoadHistory.Loading> loading = loading(engine, now);
    return new PlanInput.Engine(
        engine.runner(),
        engine.domain(),
        engine.isFree(now) && orderable.test(engine.runner()),
        engine.modelsAndComing(),
        engine.room(),
        loading.map(LoadHistory.Loading::model).orElse(""),
        loading.map(LoadHistory.Loading::source).orElse(LoadSource.MEMORY),
        loading.map(LoadHistory.Loading::leftMillis).orElse(0L),
        engine.inHostMemory(),
        engine.onDisk(),
        load == null ? Map.of() : load.byModel(),
        load == null ? Set.of() : load.adapters(),
        engine.idleAdapters(now.minus(ADAPTER_KEEP)));
  }

  private Optional<LoadHistory.Loading> loading(EngineState engine, Instant now) {
    return engine
        .loading()
        .map(
            order -> {
              FleetOrder.LoadModel load = (FleetOrder.LoadModel) order.body();
              return new LoadHistory.Loading(
                  engine.runner(), load.model(), load.source(), order.leftMillis(now));
            })
        .or(() -> inherited.on(engine, now));
  }

  /** Returns the loads that the next holder of the lease has to know. */
  public LoadHistory loads(Instant now) {
    return new LoadHistory(
        engines.values().stream().flatMap(engine -> loading(engine, now).stream()).toList(),
        storeLoads.agesMillis(now));
  }

  private int countStoreLoads(String service, Instant now) {
    int count = 0;
    for (EngineState engine : engines.values()) {
      boolean fromStore =
          loading(engine, now).filter(load -> load.source() == LoadSource.STORE).isPresent();
      if (fromStore && service.equals(serviceOf.get(engine.runner()))) {
        count++;
      }
    }
    return count;
  }

  private Optional<HostedModel> model(
      GatewayConfiguration configuration, String runner, String name) {
    return configuration.engineOf(serviceOf.getOrDefault(runner, "")).stream()
        .flatMap(spec -> spec.models().stream())
        .filter(model -> model.name().equals(name))
        .findFirst();
  }

  /**
   * Returns the engines to ask for a report now, and notes that they are asked.
   *
   * @param mayAsk tells runners that may be asked
   */
  public List<String> takeQuestions(Predicate<String> mayAsk, Instant now) {
    List<String> questions = new ArrayList<>();
    for (EngineState engine : engines.values()) {
      Instant last = askedAt.getOrDefault(engine.runner(), Instant.MIN);
      Duration pause = engine.wantsReport(now) ? REPORT_PAUSE : REPORT_IDLE_PAUSE;
      boolean due = last.equals(Instant.MIN) || !now.isBefore(last.plus(pause));
      if (due && mayAsk.test(engine.runner())) {
        askedAt.put(engine.runner(), now);
        engine.ask(now);
        questions.add(engine.runner());
      }
    }
    return questions;
  }

  /** Returns the models and adapters that take room in an engine, as known here. */
  public Map<String, Set<String>> room(String runner) {
    EngineState engine = engines.get(runner);
    return engine == null ? Map.of() : engine.room();
  }

  private void reviseHeld(EngineState engine) {
    engine.revise(++revision);
    heldRevision = revision;
  }

  // Output

  /** Returns the views that changed after a revision. */
  public List<RunnerView> viewsSince(long known, Instant now) {
    Map<String, UseBook.Load> loads = uses.loads();
    List<RunnerView> views = new ArrayList<>();
    for (EngineState engine : engines.values()) {
      UseBook.Load load = loads.get(engine.runner());
      int running = load == null ? 0 : load.running();
      int told = toldRunning.getOrDefault(engine.runner(), 0);
      if (Math.abs(running - told) > told * TOLD_DIFFERENCE) {
        toldRunning.put(engine.runner(), running);
        engine.revise(++revision);
      }
      if (engine.revision() > known) {
        views.add(view(engine, load, now));
      }
    }
    return views;
  }

  private static RunnerView view(EngineState engine, UseBook.Load load, Instant now) {
    List<LoadedModel> models = new ArrayList<>();
    engine
        .models()
        .forEach((name, adapters) -> models.add(new LoadedModel(name, List.copyOf(adapters))));
    return new RunnerView(
        engine.runner(),
        engine.bornMillis(),
        engine.revision(),
        models,
        engine.loading().map(order -> order.body().model()).orElse(""),
        engine.loading().map(order -> order.leftMillis(now)).orElse(0L),
        load == null ? 0 : load.running(),
        load == null ? 0 : load.tokens());
  }

  /** Returns the newest revision of a view that tells of more than running requests. */
  public long heldRevision() {
    return heldRevision;
  }

  /** Returns the orders of the last plan that were not given: the engine has no room for them. */
  public List<Plan.Placed> withheld() {
    return withheld;
  }

  /** Returns when models that are waited for can serve. */
  public List<ModelForecast> forecasts() {
    return forecasts;
  }

  /** Returns the newest revision of a view. */
  public long revision() {
    return revision;
  }
}
