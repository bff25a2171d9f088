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
 * Decides which models are loaded on which engines, for one service.
 *
 * <p>It is designed for a workload in which two or three models get most of the requests and change
 * within seconds, while many others, more than fit into the engines, get a request every few
 * seconds each. An engine loads a model from its disk in less than a second. A load from the weight
 * store takes many seconds, and the weight store serves few loads at a time. The planner therefore
 * swaps models from an engine's disk for every waiting request, keeps the weight store busy with
 * models that no disk holds yet, and gives the most requested models enough replicas.
 *
 * <p>Life cycle: one per service and node. It remembers for which model an engine is being cleared.
 * Not thread-safe.
 */
public final class ModelPlanner {

  /** Concurrent requests of one model that an engine serves before another replica is planned. */
  private static final double RUNNING_PER_REPLICA = 8;

  /** Arrivals per second from which a model keeps two replicas, to tolerate the loss of one. */
  private static final double SPARE_REPLICA_RATE = 1.0;

  /**
   * Arrivals per second for one replica: about half of the rate at which processing the prompts
   * saturates it.
   */
  private static final double RATE_PER_REPLICA = 6;

  /** Arrivals per second at which processing prompts leaves a replica little time to generate. */
  private static final double SATURATED_RATE_PER_REPLICA = 2 * RATE_PER_REPLICA;

  /**
   * Share of an engine's slots that requests of one model may use before the engine counts as full.
   */
  private static final double SATURATED_SLOT_SHARE = 0.5;

  /** Share of the engines that may be loading from the store for which no request waits. */
  private static final double MAX_PREFETCH_SHARE = 0.5;

  /** Engines that should have a model with adapters on disk: its usual number of replicas. */
  private static final int COPIES_WITH_ADAPTERS = 3;

  /** Arrivals per second below which a model counts as not requested. */
  private static final double MIN_ACTIVE_RATE = 0.02;

  /**
   * Cost of blocking an engine with a load from the store, as a share of the load time. It is
   * charged for each model that only this engine could reload in the meantime, and for each request
   * per second that may need an adapter on this engine.
   */
  private static final double BLOCKING_COST_SHARE = 0.1;

  /** Time that unloading a model adds to a load, in milliseconds. */
  private static final long UNLOAD_MILLIS = 400;

  /** Orders for adapters that an engine gets before the model for which it was cleared. */
  private static final int ADAPTER_ORDERS_BEFORE_MODEL = 2;

  private final Map<String, String> clearedFor = new HashMap<>();
  private final Map<String, Integer> adapterOrdersSinceClearing = new HashMap<>();

  private ModelPlanner() {}

  /** Returns a planner without state. */
  public static ModelPlanner create() {
    return new ModelPlanner();
  }

  /** Returns the plan for the current state. */
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

  /** A single planning run. */
  private final class PlanningRound {

    private final PlanInput input;
    private final EngineSpec spec;
    private final EngineCapacity capacity;
    private final Map<String, HostedModel> hostedModels;
    private final Map<String, PlanInput.Engine> engines = new LinkedHashMap<>();

    /** Engines that got an order or are waiting for one; an engine gets one order at a time. */
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
     * Limits the orders for adapters: continual swapping of adapters would otherwise keep a cleared
     * engine from ever loading its model.
     */
    private boolean mayPlaceAdapters(PlanInput.Engine engine) {
      return adapterOrdersSinceClearing.getOrDefault(engine.runner(), 0)
          < ADAPTER_ORDERS_BEFORE_MODEL;
    }

    /** Continues with engines that are being cleared for a model. */
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
          place(engine, model, "engine was cleared for this model");
        } else {
          assignedEngines.add(engine.runner());
          startsInMillis.merge(model, loadMillis(engine, model) + UNLOAD_MILLIS, Math::min);
        }
      }
    }

    /** Loads the models that requests are waiting for, the most urgent and most valuable first. */
    void placeWaiting() {
      List<String> requested =
          input.demands().keySet().stream()
              .filter(model -> input.demand(model).worth() > 0 && hostedModels.containsKey(model))
              .filter(model -> copies.replicas(model) == 0 && !startsInMillis.containsKey(model))
              .sorted(
                  Comparator.comparing((String model) -> input.demand(model).waiting() == 0)
                      .thenComparingDouble(model -> -input.demand(model).worth())
                      .thenComparingLong(model -> input.demand(model).leastLeftMillis()))
              .toList();
      List<String> fromStore = new ArrayList<>();
      for (String model : requested) {
        Optional<PlanInput.Engine> engine = bestEngine(model, false);
        if (engine.isPresent()) {
          place(engine.get(), model, "requests are waiting");
        } else if (!copies.isCached(model)) {
          fromStore.add(model);
        }
      }
      loadFromStore(fromStore, "requests are waiting");
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

    /** Loads requested models of leaving runners on other runners before the former are gone. */
    void replaceLeaving() {
      List<String> leaving =
          input.leavingModels().stream()
              .filter(
                  model -> hostedModels.containsKey(model) && !startsInMillis.containsKey(model))
              .filter(model -> copies.replicas(model) == 0)
              .filter(model -> input.demand(model).perSecond() >= MIN_ACTIVE_RATE)
              .sorted(
                  Comparator.comparingDouble((String model) -> -input.demand(model).perSecond()))
              .toList();
      leaving.forEach(model -> placeOnBestEngine(model, "current runner is leaving", true));
    }

    private void placeOnBestEngine(String model, String reason, boolean fromStore) {
      Optional<PlanInput.Engine> cached = bestEngine(model, false);
      if (cached.isPresent()) {
        place(cached.get(), model, reason);
      } else if (fromStore && mayLoadFromStore()) {
        bestEngine(model, true).ifPresent(engine -> place(engine, model, reason));
      }
    }

    /** Adds replicas for models with many requests. */
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
        placeOnBestEngine(model, "more replicas needed", needed);
      }
    }

    /** Keeps the weight store busy with models that too few engines have on disk. */
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
        place(engine.get(), model, "cached on too few disks");
        prefetching++;
      }
    }

    /**
     * Returns the target number of copies. A model with adapters serves many teams and may receive
     * many requests within seconds.
     */
    private int targetCopies(String model) {
      return hostedModels.get(model).adapters() > 0
          ? Math.min(COPIES_WITH_ADAPTERS, engines.size())
          : 1;
    }

    /** Returns whether no model is requested; the engines are then free for loads in advance. */
    private boolean isIdle() {
      return input.demands().values().stream()
          .allMatch(demand -> demand.perSecond() < MIN_ACTIVE_RATE);
    }

    // Cost and limits

    private boolean mayLoadFromStore() {
      return input.storeLoadAllowed() && storeLoads < input.storeLoadLimit();
    }

    /**
     * Returns whether another model may be prefetched. Once models are requested, one concurrent
     * load is reserved for those that requests wait for.
     */
    private boolean mayPrefetch(long prefetching) {
      int reserved = isIdle() || input.storeLoadLimit() == 1 ? 0 : 1;
      return input.storeLoadAllowed()
          && storeLoads < input.storeLoadLimit() - reserved
          && (isIdle() || prefetching < engines.size() * MAX_PREFETCH_SHARE);
    }

    /**
     * Returns the engine on which loading a model costs least, if any.
     *
     * @param fromStore whether the weights may be loaded from the weight store
     */
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

    /**
     * Returns the cost in milliseconds: the load, the unloads and the value of the evicted models.
     */
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
     * Returns the work that a load from the store blocks on an engine: reloading models from its
     * disk that no other engine has, and loading adapters of the models that it serves.
     */
    private double blockingCost(PlanInput.Engine engine) {
      double adapterRequests = 0;
      for (String loaded : engine.models().keySet()) {
        HostedModel model = hostedModels.get(loaded);
        if (model != null && model.adapters() > 0) {
          adapterRequests +=
              input.demand(loaded).perSecond() / Math.max(1, copies.replicas(loaded));
        }
      }
      return copies.countExclusive(engine) + adapterRequests;
    }

    /** Returns the models to evict so that a model fits; empty if it cannot fit. */
    private Optional<List<String>> victims(PlanInput.Engine engine, String model) {
      double missingMegabytes = hostedModels.get(model).megabytes() - freeMegabytes(engine);
      List<String> victims = new ArrayList<>();
      if (missingMegabytes <= 0) {
        return Optional.of(victims);
      }
      List<String> candidates =
          engine.models().keySet().stream()
              .filter(loaded -> isEvictable(engine, loaded))
              .sorted(Comparator.comparingDouble(loaded -> retentionValue(engine, loaded)))
              .toList();
      for (String candidate : candidates) {
        victims.add(candidate);
        missingMegabytes -= capacity.megabytes(candidate);
        if (missingMegabytes <= 0) {
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

    /**
     * Returns the value of keeping a model on an engine: its requests per second, divided by its
     * replicas, and more if the engine would have to reload it from the store.
     */
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
     * Returns the number of replicas that justify a load from the store. Such a load keeps its
     * engine from serving the models on its disk, which other requests wait for, many times as long
     * as a load from disk does.
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
      Set<String> loadingRunners = new HashSet<>(placedThisRound.getOrDefault(model, Set.of()));
      engines.values().stream()
          .filter(engine -> engine.loading().equals(model))
          .forEach(engine -> loadingRunners.add(engine.runner()));
      clearedFor.forEach(
          (runner, clearedModel) -> {
            if (clearedModel.equals(model) && !engines.get(runner).models().containsKey(model)) {
              loadingRunners.add(runner);
            }
          });
      return copies.replicas(model) + loadingRunners.size();
    }

    private static boolean isCachedOn(PlanInput.Engine engine, String model) {
      return engine.source(model) != LoadSource.STORE;
    }

    // Orders

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
              "frees capacity for " + model));
    }

    // Estimates

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
