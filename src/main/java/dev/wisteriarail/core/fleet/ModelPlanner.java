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
  private static final double FULL_RATE_PER_REPLICA = 2 * RATE_PER_REPLICA;

  /** Share of an engine's slots that the requests of one model may take before it is full. */
  private static final double FULL_SHARE = 0.5;

  /** Share of the engines that may be busy with loads from the store that nobody waits for. */
  private static final double STOCKING_SHARE = 0.5;

  /** Engines that should have a model with adapters on their disks: its usual replicas. */
  private static final int COPIES_WITH_ADAPTERS = 3;

  /** Arrivals a second of a model below which it counts as not asked for. */
  private static final double QUIET_RATE = 0.02;

  /**
   * Share of the time of a load from the store that each model counts which only the loading engine
   * could bring back meanwhile, and each request a second that its adapters may be asked for with.
   */
  private static final double BLOCKED_SHARE = 0.1;

  /** Time that clearing a place adds to a load, in milliseconds. */
  private static final long CLEARING_MILLIS = 400;

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
    Round round = new Round(input);
    round.serveAdapters();
    round.keepPromises();
    round.serveWaiting();
    round.replaceLeaving();
    round.spread();
    round.stock();
    return round.plan();
  }

  /** One call of the planner. */
  private final class Round {

    private final PlanInput input;
    private final EngineSpec spec;
    private final RoomRules rules;
    private final Map<String, HostedModel> hosted;
    private final Map<String, PlanInput.Engine> engines = new LinkedHashMap<>();

    /** Engines that got an order or wait for one: each gets one order at a time. */
    private final Set<String> taken = new HashSet<>();

    private final Map<String, Long> startsIn = new HashMap<>();
    private final Map<String, Set<String>> placedNow = new HashMap<>();
    private final Copies copies;
    private final Map<String, Double> blocked = new HashMap<>();
    private final List<Plan.Placed> orders = new ArrayList<>();
    private int storeLoads;

    Round(PlanInput input) {
      this.input = input;
      spec = input.spec();
      rules = RoomRules.of(spec);
      hosted = rules.hosted();
      input.engines().forEach(engine -> engines.put(engine.runner(), engine));
      copies = Copies.count(input.engines());
      clearedFor.keySet().retainAll(engines.keySet());
      adapterOrdersSinceClearing.keySet().retainAll(clearedFor.keySet());
      storeLoads = input.storeLoads();
      for (PlanInput.Engine engine : input.engines()) {
        if (!engine.loading().isEmpty()) {
          startsIn.merge(engine.loading(), engine.loadingLeftMillis(), Math::min);
        }
      }
    }

    Plan plan() {
      List<Plan.Forecast> forecasts = new ArrayList<>();
      input
          .models()
          .forEach(
              (model, need) -> {
                if (copies.replicas(model) == 0 && need.worth() > 0) {
                  forecasts.add(
                      new Plan.Forecast(
                          model, startsIn.getOrDefault(model, ModelForecast.UNPLANNED)));
                }
              });
      return new Plan(orders, forecasts);
    }

    // Steps

    void serveAdapters() {
      for (Plan.Placed placed : AdapterPlacement.orders(input, rules, this::mayServeAdapters)) {
        taken.add(placed.runner());
        orders.add(placed);
        if (clearedFor.containsKey(placed.runner())) {
          adapterOrdersSinceClearing.merge(placed.runner(), 1, Integer::sum);
        }
      }
    }

    /**
     * Adapters that are traded all the time would keep a cleared engine from its model for good.
     */
    private boolean mayServeAdapters(PlanInput.Engine engine) {
      return adapterOrdersSinceClearing.getOrDefault(engine.runner(), 0)
          < ADAPTER_ORDERS_BEFORE_MODEL;
    }

    /** Goes on with engines that were being cleared for a model. */
    void keepPromises() {
      for (Map.Entry<String, String> promise : List.copyOf(clearedFor.entrySet())) {
        PlanInput.Engine engine = engines.get(promise.getKey());
        String model = promise.getValue();
        boolean needless =
            !hosted.containsKey(model)
                || engine.models().containsKey(model)
                || engine.loading().equals(model);
        if (needless) {
          clearedFor.remove(promise.getKey());
        } else if (engine.free() && !taken.contains(engine.runner())) {
          place(engine, model, "cleared for it");
        } else {
          taken.add(engine.runner());
          startsIn.merge(model, loadMillis(engine, model) + CLEARING_MILLIS, Math::min);
        }
      }
    }

    /** Loads what requests wait for, the most urgent and most wanted first. */
    void serveWaiting() {
      List<String> wanted =
          input.models().keySet().stream()
              .filter(model -> input.need(model).worth() > 0 && hosted.containsKey(model))
              .filter(model -> copies.replicas(model) == 0 && !startsIn.containsKey(model))
              .sorted(
                  Comparator.comparing((String model) -> input.need(model).waiting() == 0)
                      .thenComparingDouble(model -> -input.need(model).worth())
                      .thenComparingLong(model -> input.need(model).leastLeftMillis()))
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
        startsIn.put(model, storeQueueMillis(model, queued));
      }
    }

    private long storeQueueMillis(String model, int place) {
      long load = hosted.get(model).loadFromStore().toMillis();
      return load + load * place / Math.max(1, input.storeLoadLimit());
    }

    /** Brings models that are asked for from runners that leave to others, before they are gone. */
    void replaceLeaving() {
      List<String> lost =
          input.leaving().stream()
              .filter(model -> hosted.containsKey(model) && !startsIn.containsKey(model))
              .filter(model -> copies.replicas(model) == 0)
              .filter(model -> input.need(model).perSecond() >= QUIET_RATE)
              .sorted(Comparator.comparingDouble((String model) -> -input.need(model).perSecond()))
              .toList();
      lost.forEach(model -> bring(model, "its runner leaves", true));
    }

    private void bring(String model, String reason, boolean fromStore) {
      Optional<PlanInput.Engine> cached = bestEngine(model, false);
      if (cached.isPresent()) {
        place(cached.get(), model, reason);
      } else if (fromStore && mayLoadFromStore()) {
        bestEngine(model, true).ifPresent(engine -> place(engine, model, reason));
      }
    }

    /** Gives models with many requests more replicas. */
    void spread() {
      List<String> busy =
          input.models().keySet().stream()
              .filter(hosted::containsKey)
              .filter(model -> copies.replicas(model) > 0 || startsIn.containsKey(model))
              .filter(model -> replicasWithLoading(model) < wantedReplicas(model))
              .sorted(Comparator.comparingDouble((String model) -> -input.need(model).perSecond()))
              .toList();
      for (String model : busy) {
        boolean needed = replicasWithLoading(model) < neededReplicas(model);
        bring(model, "more replicas wanted", needed);
      }
    }

    /** Keeps the weight store busy with models that too few engines have on their disks. */
    void stock() {
      long stocking =
          engines.values().stream()
              .filter(engine -> !engine.loading().isEmpty())
              .filter(engine -> engine.loadingSource() == LoadSource.STORE)
              .count();
      List<String> missing =
          hosted.keySet().stream()
              .filter(model -> copies.copies(model) < wantedCopies(model))
              .filter(model -> !startsIn.containsKey(model))
              .sorted(
                  Comparator.comparingDouble((String model) -> -input.need(model).perSecond())
                      .thenComparing(model -> copies.copies(model) > 0 || wantedCopies(model) == 1)
                      .thenComparing(Function.identity()))
              .toList();
      for (String model : missing) {
        Optional<PlanInput.Engine> engine =
            mayStock(stocking) ? bestEngine(model, true) : Optional.empty();
        if (engine.isEmpty()) {
          return;
        }
        place(engine.get(), model, "on too few disks");
        stocking++;
      }
    }

    /** A model with adapters serves many teams and may get many requests within seconds. */
    private int wantedCopies(String model) {
      return hosted.get(model).adapters() > 0 ? Math.min(COPIES_WITH_ADAPTERS, engines.size()) : 1;
    }

    /** Before anybody asks for a model, engines have nothing better to do than to load. */
    private boolean isQuiet() {
      return input.models().values().stream().allMatch(need -> need.perSecond() < QUIET_RATE);
    }

    // Choices

    private boolean mayLoadFromStore() {
      return input.storeLoadAllowed() && storeLoads < input.storeLoadLimit();
    }

    /** Once models are asked for, one load at a time is kept for those that requests wait for. */
    private boolean mayStock(long stocking) {
      int kept = isQuiet() || input.storeLoadLimit() == 1 ? 0 : 1;
      return input.storeLoadAllowed()
          && storeLoads < input.storeLoadLimit() - kept
          && (isQuiet() || stocking < engines.size() * STOCKING_SHARE);
    }

    /** Returns the engine on which a model costs least; the weight store is used if asked for. */
    private Optional<PlanInput.Engine> bestEngine(String model, boolean fromStore) {
      PlanInput.Engine best = null;
      double bestCost = Double.MAX_VALUE;
      for (PlanInput.Engine engine : engines.values()) {
        boolean usable =
            engine.free()
                && !taken.contains(engine.runner())
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
                * BLOCKED_SHARE
                * blocked.computeIfAbsent(engine.runner(), runner -> blockedBy(engine));
      }
      for (String victim : victims) {
        cost += CLEARING_MILLIS + 1000 * keepValue(engine, victim);
      }
      return cost + 10 * engine.totalRunning();
    }

    /**
     * What an engine cannot do while it loads from the store: bring back models from its disk that
     * no other engine has, and load adapters of the models that it serves.
     */
    private double blockedBy(PlanInput.Engine engine) {
      double adapterRequests = 0;
      for (String held : engine.models().keySet()) {
        HostedModel model = hosted.get(held);
        if (model != null && model.adapters() > 0) {
          adapterRequests += input.need(held).perSecond() / Math.max(1, copies.replicas(held));
        }
      }
      return copies.onlyOn(engine) + adapterRequests;
    }

    /** Returns what has to go for a model to fit; empty if it cannot fit. */
    private Optional<List<String>> victims(PlanInput.Engine engine, String model) {
      double missing = hosted.get(model).megabytes() - freeMegabytes(engine);
      List<String> victims = new ArrayList<>();
      if (missing <= 0) {
        return Optional.of(victims);
      }
      List<String> candidates =
          engine.models().keySet().stream()
              .filter(held -> isIdle(engine, held))
              .sorted(Comparator.comparingDouble(held -> keepValue(engine, held)))
              .toList();
      for (String candidate : candidates) {
        victims.add(candidate);
        missing -= rules.megabytes(candidate);
        if (missing <= 0) {
          return Optional.of(victims);
        }
      }
      return Optional.empty();
    }

    private boolean isIdle(PlanInput.Engine engine, String model) {
      if (engine.running().getOrDefault(model, 0) > 0) {
        return false;
      }
      int others = copies.replicas(model) - 1;
      if (input.need(model).waiting() > 0 && others == 0) {
        return false;
      }
      return others >= wantedReplicas(model) || wantedReplicas(model) <= 1;
    }

    /** What a model is worth on an engine: its requests a second, less if others hold it too. */
    private double keepValue(PlanInput.Engine engine, String model) {
      double value = input.need(model).perSecond() / Math.max(1, copies.replicas(model));
      return isCachedOn(engine, model) ? value : value + 1;
    }

    private int wantedReplicas(String model) {
      PlanInput.ModelNeed need = input.need(model);
      double byRunning = Math.ceil((need.running() + need.waiting()) / RUNNING_PER_REPLICA);
      double byRate = Math.ceil(need.perSecond() / RATE_PER_REPLICA);
      double least = need.perSecond() >= SPARE_REPLICA_RATE ? 2 : 1;
      double most = Math.max(1, engines.size() / 2.0);
      return (int) Math.min(most, Math.max(least, Math.max(byRunning, byRate)));
    }

    /**
     * Replicas that are worth a load from the store: it blocks its engine for the models on its
     * disk, which others wait for, for many times as long as a load from disk does.
     */
    private int neededReplicas(String model) {
      PlanInput.ModelNeed need = input.need(model);
      double bySlots = Math.ceil((need.running() + need.waiting()) / (spec.slots() * FULL_SHARE));
      double byRate = Math.ceil(need.perSecond() / FULL_RATE_PER_REPLICA);
      double least = need.perSecond() >= SPARE_REPLICA_RATE ? 2 : 1;
      return (int) Math.min(wantedReplicas(model), Math.max(least, Math.max(bySlots, byRate)));
    }

    private int replicasWithLoading(String model) {
      Set<String> coming = new HashSet<>(placedNow.getOrDefault(model, Set.of()));
      engines.values().stream()
          .filter(engine -> engine.loading().equals(model))
          .forEach(engine -> coming.add(engine.runner()));
      clearedFor.forEach(
          (runner, promised) -> {
            if (promised.equals(model) && !engines.get(runner).models().containsKey(model)) {
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
      taken.add(engine.runner());
      LoadSource source = engine.source(model);
      if (source == LoadSource.STORE) {
        storeLoads++;
      }
      Optional<List<String>> victims = victims(engine, model);
      if (victims.isEmpty()) {
        clearedFor.remove(engine.runner());
        return;
      }
      startsIn.merge(
          model, loadMillis(engine, model) + CLEARING_MILLIS * victims.get().size(), Math::min);
      if (victims.get().isEmpty()) {
        placedNow.computeIfAbsent(model, name -> new HashSet<>()).add(engine.runner());
        orders.add(
            new Plan.Placed(engine.runner(), new FleetOrder.LoadModel(model, source), reason));
        return;
      }
      clearedFor.put(engine.runner(), model);
      orders.add(
          new Plan.Placed(
              engine.runner(),
              new FleetOrder.UnloadModel(victims.get().getFirst()),
              "makes room for " + model));
    }

    // Figures

    private long loadMillis(PlanInput.Engine engine, String model) {
      return hosted.get(model).loadFrom(engine.source(model)).toMillis();
    }

    private double freeMegabytes(PlanInput.Engine engine) {
      boolean counted = engine.loading().isEmpty() || engine.room().containsKey(engine.loading());
      return rules.freeMegabytes(engine.room()) - (counted ? 0 : rules.megabytes(engine.loading()));
    }
  }
}
