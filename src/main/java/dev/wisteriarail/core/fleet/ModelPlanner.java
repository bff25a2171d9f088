package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.HostedModel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Decides which model is loaded where, for one service.
 *
 * <p>The load that it answers: two or three models get most requests and change within seconds;
 * many others get a request every few seconds each, more of them than fit into the engines. A model
 * whose weights an engine has on disk is there in less than a second, one from the weight store
 * takes many, and the weight store serves few at a time. So an engine trades models from its disk
 * for every request that waits, the weight store is kept busy with models that no disk has yet, and
 * the models of the many requests keep replicas enough.
 *
 * <p>Life cycle: one per service and node. It remembers for which model an engine is being cleared.
 * Not thread-safe.
 */
public final class ModelPlanner {

  /** Requests of one model that an engine serves before another replica is wanted. */
  private static final double RUNNING_PER_REPLICA = 8;

  /** Arrivals a second from which a model keeps two replicas, against the loss of one. */
  private static final double SPARE_REPLICA_RATE = 1.0;

  /** Arrivals a second that one replica takes: about half of what its prompts cost to read. */
  private static final double RATE_PER_REPLICA = 6;

  /** Arrivals a second at which reading their prompts leaves a replica little time for answers. */
  private static final double SATURATED_RATE_PER_REPLICA = 2 * RATE_PER_REPLICA;

  /** Share of an engine's slots that the requests of one model may take before it is full. */
  private static final double SATURATED_SLOT_SHARE = 0.5;

  /** Share of the engines that may be busy with loads from the store that nobody waits for. */
  private static final double MAX_PREFETCH_SHARE = 0.5;

  /** Engines that should have a model with adapters on their disks: its usual replicas. */
  private static final int COPIES_WITH_ADAPTERS = 3;

  /** Arrivals a second of a model below which it counts as not asked for. */
  private static final double MIN_ACTIVE_RATE = 0.02;

  /**
   * Share of the time of a load from the store that each model counts which only the loading engine
   * could bring back meanwhile, and each request a second that its adapters may be asked for with.
   */
  private static final double BLOCKING_COST_SHARE = 0.1;

  /** Time that clearing a place adds to a load, in milliseconds. */
  private static final long UNLOAD_MILLIS = 400;

  /** Orders for adapters that an engine gets before the model that it was cleared for. */
  private static final int ADAPTER_ORDERS_BEFORE_MODEL = 2;

  private final Map<String, String> clearedFor = new HashMap<>();
  private final Map<String, Integer> adapterOrdersSinceClearing = new HashMap<>();

  private ModelPlanner() {}

  /** Returns a planner that has decided nothing. */
  public static ModelPlanner create() {
    return new ModelPlanner();
  }

  /** Returns what to do now. */
  public Plan plan(PlanInput input) {
    PlanningRound round = new PlanningRound(input);
    round.placeAdapters();
    round.continueClearing();
    round.placeWaiting();
    round.replaceLeaving();
    round.addReplicas();
    round.prefetch();
    return round.plan();
  }

  /** One call of the planner. */
  private final class PlanningRound {

    private final PlanInput input;
    private final EngineSpec spec;
    private final EngineCapacity capacity;
    private final Map<String, HostedModel> hostedModels;
    private final Map<String, PlanInput.Engine> engines = new LinkedHashMap<>();

    /** Engines that got an order or wait for one: each gets one order at a time. */
    private final Set<String> assignedEngines = new HashSet<>();

    private final Map<String, Long> startsInMillis = new HashMap<>();
    private final Map<String, Set<String>> placedThisRound = new HashMap<>();
    private final CopyCounts copies;
    private final Map<String, Double> blockingCosts = new HashMap<>();
    private final List<Plan.PlannedOrder> orders = new ArrayList<>();
    private int storeLoads;

    PlanningRound(PlanInput input) {
      this.input = input;
      spec = input.spec();
      capacity = EngineCapacity.of(spec);
      hostedModels = capacity.hostedModels();
      input.engines().forEach(engine -> engines.put(engine.runner(), engine));
      copies = CopyCounts.count(input.engines());
      clearedFor.keySet().retainAll(engines.keySet());
      adapterOrdersSinceClearing.keySet().retainAll(clearedFor.keySet());
      storeLoads = input.storeLoads();
      for (PlanInput.Engine engine : input.engines()) {
        if (!engine.loading().isEmpty()) {
          startsInMillis.merge(engine.loading(), engine.loadingRemainingMillis(), Math::min);
        }
      }
    }

    Plan plan() {
      List<Plan.Forecast> forecasts = new ArrayList<>();
      input
          .demands()
          .forEach(
              (model, demand) -> {
                if (copies.replicas(model) == 0 && demand.worth() > 0) {
                  forecasts.add(
                      new Plan.Forecast(
                          model, startsInMillis.getOrDefault(model, ModelForecast.UNPLANNED)));
                }
              });
      return new Plan(orders, forecasts);
    }

    // Steps

    void placeAdapters() {
      for (Plan.PlannedOrder planned :
          AdapterPlacement.orders(input, capacity, this::mayPlaceAdapters)) {
        assignedEngines.add(planned.runner());
        orders.add(planned);
        if (clearedFor.containsKey(planned.runner())) {
          adapterOrdersSinceClearing.merge(planned.runner(), 1, Integer::sum);
        }
      }
    }

    /**
     * Adapters that are traded all the time would keep a cleared engine from its model for good.
     */
    private boolean mayPlaceAdapters(PlanInput.Engine engine) {
      return adapterOrdersSinceClearing.getOrDefault(engine.runner(), 0)
          < ADAPTER_ORDERS_BEFORE_MODEL;
    }

    /** Goes on with engines that were being cleared for a model. */
    void continueClearing() {
      for (Map.Entry<String, String> clearing : List.copyOf(clearedFor.entrySet())) {
        PlanInput.Engine engine = engines.get(clearing.getKey());
        String model = clearing.getValue();
        boolean obsolete =
            !hostedModels.containsKey(model)
                || engine.models().containsKey(model)
                || engine.loading().equals(model);
        if (obsolete) {
          clearedFor.remove(clearing.getKey());
        } else if (engine.free() && !assignedEngines.contains(engine.runner())) {
          place(engine, model, "cleared for it");
        } else {
          assignedEngines.add(engine.runner());
          startsInMillis.merge(model, loadMillis(engine, model) + UNLOAD_MILLIS, Math::min);
        }
      }
    }

    /** Loads what requests wait for, the most urgent and most wanted first. */
    void placeWaiting() {
      List<String> wanted =
          input.demands().keySet().stream()
              .filter(model -> input.demand(model).worth() > 0 && hostedModels.containsKey(model))
              .filter(model -> copies.replicas(model) == 0 && !startsInMillis.containsKey(model))
              .sorted(
                  Comparator.comparing((String model) -> input.demand(model).waiting() == 0)
                      .thenComparingDouble(model -> -input.demand(model).worth())
                      .thenComparingLong(model -> input.demand(model).leastLeftMillis()))
              .toList();
      List<String> fromStore = new ArrayList<>();
      for (String model : wanted) {
        Optional<PlanInput.Engine> engine = bestEngine(model, false);
        if (engine.isPresent()) {
          place(engine.get(), model, "requests wait");
        } else if (!copies.isCached(model)) {
          fromStore.add(model);
        }
      }
      loadFromStore(fromStore, "requests wait");
    }

    private void loadFromStore(List<String> models, String reason) {
      int queued = 0;
      for (String model : models) {
        if (mayLoadFromStore()) {
          Optional<PlanInput.Engine> engine = bestEngine(model, true);
          if (engine.isPresent()) {
            place(engine.get(), model, reason);
            continue;
          }
        }
        queued++;
        startsInMillis.put(model, storeQueueMillis(model, queued));
      }
    }

    private long storeQueueMillis(String model, int queuePosition) {
      long load = hostedModels.get(model).loadFromStore().toMillis();
      return load + load * queuePosition / Math.max(1, input.storeLoadLimit());
    }

    /** Brings models that are asked for from runners that leave to others, before they are gone. */
    void replaceLeaving() {
      List<String> lost =
          input.leavingModels().stream()
              .filter(
                  model -> hostedModels.containsKey(model) && !startsInMillis.containsKey(model))
              .filter(model -> copies.replicas(model) == 0)
              .filter(model -> input.demand(model).perSecond() >= MIN_ACTIVE_RATE)
              .sorted(
                  Comparator.comparingDouble((String model) -> -input.demand(model).perSecond()))
              .toList();
      lost.forEach(model -> placeOnBestEngine(model, "its runner leaves", true));
    }

    private void placeOnBestEngine(String model, String reason, boolean fromStore) {
      Optional<PlanInput.Engine> cached = bestEngine(model, false);
      if (cached.isPresent()) {
        place(cached.get(), model, reason);
      } else if (fromStore && mayLoadFromStore()) {
        bestEngine(model, true).ifPresent(engine -> place(engine, model, reason));
      }
    }

    /** Gives models with many requests more replicas. */
    void addReplicas() {
      List<String> busy =
          input.demands().keySet().stream()
              .filter(hostedModels::containsKey)
              .filter(model -> copies.replicas(model) > 0 || startsInMillis.containsKey(model))
              .filter(model -> replicasWithLoading(model) < targetReplicas(model))
              .sorted(
                  Comparator.comparingDouble((String model) -> -input.demand(model).perSecond()))
              .toList();
      for (String model : busy) {
        boolean needed = replicasWithLoading(model) < requiredReplicas(model);
        placeOnBestEngine(model, "more replicas wanted", needed);
      }
    }

    /** Keeps the weight store busy with models that too few engines have on their disks. */
    void prefetch() {
      long prefetching =
          engines.values().stream()
              .filter(engine -> !engine.loading().isEmpty())
              .filter(engine -> engine.loadingSource() == LoadSource.STORE)
              .count();
      List<String> missing =
          hostedModels.keySet().stream()
              .filter(model -> copies.copies(model) < targetCopies(model))
              .filter(model -> !startsInMillis.containsKey(model))
              .sorted(
                  Comparator.comparingDouble((String model) -> -input.demand(model).perSecond())
                      .thenComparing(model -> copies.copies(model) > 0 || targetCopies(model) == 1)
                      .thenComparing(Function.identity()))
              .toList();
      for (String model : missing) {
        Optional<PlanInput.Engine> engine =
            mayPrefetch(prefetching) ? bestEngine(model, true) : Optional.empty();
        if (engine.isEmpty()) {
          return;
        }
        place(engine.get(), model, "on too few disks");
        prefetching++;
      }
    }

    /** A model with adapters serves many teams and may get many requests within seconds. */
    private int targetCopies(String model) {
      return hostedModels.get(model).adapters() > 0
          ? Math.min(COPIES_WITH_ADAPTERS, engines.size())
          : 1;
    }

    /** Before anybody asks for a model, engines have nothing better to do than to load. */
    private boolean isIdle() {
      return input.demands().values().stream()
          .allMatch(demand -> demand.perSecond() < MIN_ACTIVE_RATE);
    }

    // Choices

    private boolean mayLoadFromStore() {
      return input.storeLoadAllowed() && storeLoads < input.storeLoadLimit();
    }

    /** Once models are asked for, one load at a time is kept for those that requests wait for. */
    private boolean mayPrefetch(long prefetching) {
      int reserved = isIdle() || input.storeLoadLimit() == 1 ? 0 : 1;
      return input.storeLoadAllowed()
          && storeLoads < input.storeLoadLimit() - reserved
          && (isIdle() || prefetching < engines.size() * MAX_PREFETCH_SHARE);
    }

    /** Returns the engine on which a model costs least; the weight store is used if asked for. */
    private Optional<PlanInput.Engine> bestEngine(String model, boolean fromStore) {
      PlanInput.Engine best = null;
      double bestCost = Double.MAX_VALUE;
      for (PlanInput.Engine engine : engines.values()) {
        boolean usable =
            engine.free()
                && !assignedEngines.contains(engine.runner())
                && !engine.models().containsKey(model)
                && (fromStore || engine.source(model) != LoadSource.STORE);
        if (!usable) {
          continue;
        }
        Optional<List<String>> victims = victims(engine, model);
        if (victims.isEmpty()) {
          continue;
        }
        double cost = cost(engine, model, victims.get());
        if (cost < bestCost) {
          best = engine;
          bestCost = cost;
        }
      }
      return Optional.ofNullable(best);
    }

    /** Cost in milliseconds: the load, the clearing, and what the lost models are worth. */
    private double cost(PlanInput.Engine engine, String model, List<String> victims) {
      double cost = loadMillis(engine, model);
      if (engine.source(model) == LoadSource.STORE) {
        cost +=
            cost
                * BLOCKING_COST_SHARE
                * blockingCosts.computeIfAbsent(engine.runner(), runner -> blockingCost(engine));
      }
      for (String victim : victims) {
        cost += UNLOAD_MILLIS + 1000 * retentionValue(engine, victim);
      }
      return cost + 10 * engine.totalRunning();
    }

    /**
     * What an engine cannot do while it loads from the store: bring back models from its disk that
     * no other engine has, and load adapters of the models that it serves.
     */
    private double blockingCost(PlanInput.Engine engine) {
      double adapterRequests = 0;
      for (String held : engine.models().keySet()) {
        HostedModel model = hostedModels.get(held);
        if (model != null && model.adapters() > 0) {
          adapterRequests += input.demand(held).perSecond() / Math.max(1, copies.replicas(held));
        }
      }
      return copies.countExclusive(engine) + adapterRequests;
    }

    /** Returns what has to go for a model to fit; empty if it cannot fit. */
    private Optional<List<String>> victims(PlanInput.Engine engine, String model) {
      double missing = hostedModels.get(model).megabytes() - freeMegabytes(engine);
      List<String> victims = new ArrayList<>();
      if (missing <= 0) {
        return Optional.of(victims);
      }
      List<String> candidates =
          engine.models().keySet().stream()
              .filter(held -> isEvictable(engine, held))
              .sorted(Comparator.comparingDouble(held -> retentionValue(engine, held)))
              .toList();
      for (String candidate : candidates) {
        victims.add(candidate);
        missing -= capacity.megabytes(candidate);
        if (missing <= 0) {
          return Optional.of(victims);
        }
      }
      return Optional.empty();
    }

    private boolean isEvictable(PlanInput.Engine engine, String model) {
      if (engine.running().getOrDefault(model, 0) > 0) {
        return false;
      }
      int others = copies.replicas(model) - 1;
      if (input.demand(model).waiting() > 0 && others == 0) {
        return false;
      }
      return others >= targetReplicas(model) || targetReplicas(model) <= 1;
    }

    /** What a model is worth on an engine: its requests a second, less if others hold it too. */
    private double retentionValue(PlanInput.Engine engine, String model) {
      double value = input.demand(model).perSecond() / Math.max(1, copies.replicas(model));
      return isCachedOn(engine, model) ? value : value + 1;
    }

    private int targetReplicas(String model) {
      PlanInput.DemandSummary demand = input.demand(model);
      double byRunning = Math.ceil((demand.running() + demand.waiting()) / RUNNING_PER_REPLICA);
      double byRate = Math.ceil(demand.perSecond() / RATE_PER_REPLICA);
      double minimum = demand.perSecond() >= SPARE_REPLICA_RATE ? 2 : 1;
      double maximum = Math.max(1, engines.size() / 2.0);
      return (int) Math.min(maximum, Math.max(minimum, Math.max(byRunning, byRate)));
    }

    /**
     * Replicas that are worth a load from the store: it blocks its engine for the models on its
     * disk, which others wait for, for many times as long as a load from disk does.
     */
    private int requiredReplicas(String model) {
      PlanInput.DemandSummary demand = input.demand(model);
      double bySlots =
          Math.ceil((demand.running() + demand.waiting()) / (spec.slots() * SATURATED_SLOT_SHARE));
      double byRate = Math.ceil(demand.perSecond() / SATURATED_RATE_PER_REPLICA);
      double minimum = demand.perSecond() >= SPARE_REPLICA_RATE ? 2 : 1;
      return (int) Math.min(targetReplicas(model), Math.max(minimum, Math.max(bySlots, byRate)));
    }

    private int replicasWithLoading(String model) {
      Set<String> coming = new HashSet<>(placedThisRound.getOrDefault(model, Set.of()));
      engines.values().stream()
          .filter(engine -> engine.loading().equals(model))
          .forEach(engine -> coming.add(engine.runner()));
      clearedFor.forEach(
          (runner, clearedModel) -> {
            if (clearedModel.equals(model) && !engines.get(runner).models().containsKey(model)) {
              coming.add(runner);
            }
          });
      return copies.replicas(model) + coming.size();
    }

    private static boolean isCachedOn(PlanInput.Engine engine, String model) {
      return engine.source(model) != LoadSource.STORE;
    }

    // Actions

    private void place(PlanInput.Engine engine, String model, String reason) {
      assignedEngines.add(engine.runner());
      LoadSource source = engine.source(model);
      if (source == LoadSource.STORE) {
        storeLoads++;
      }
      Optional<List<String>> victims = victims(engine, model);
      if (victims.isEmpty()) {
        clearedFor.remove(engine.runner());
        return;
      }
      startsInMillis.merge(
          model, loadMillis(engine, model) + UNLOAD_MILLIS * victims.get().size(), Math::min);
      if (victims.get().isEmpty()) {
        placedThisRound.computeIfAbsent(model, name -> new HashSet<>()).add(engine.runner());
        orders.add(
            new Plan.PlannedOrder(
                engine.runner(), new FleetOrder.LoadModel(model, source), reason));
        return;
      }
      clearedFor.put(engine.runner(), model);
      orders.add(
          new Plan.PlannedOrder(
              engine.runner(),
              new FleetOrder.UnloadModel(victims.get().getFirst()),
              "makes room for " + model));
    }

    // Figures

    private long loadMillis(PlanInput.Engine engine, String model) {
      return hostedModels.get(model).loadFrom(engine.source(model)).toMillis();
    }

    private double freeMegabytes(PlanInput.Engine engine) {
      boolean counted =
          engine.loading().isEmpty() || engine.occupancy().containsKey(engine.loading());
      return capacity.freeMegabytes(engine.occupancy())
          - (counted ? 0 : capacity.megabytes(engine.loading()));
    }
  }
}
