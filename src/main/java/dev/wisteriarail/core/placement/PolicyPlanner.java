package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.CheckpointTier;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.peer.Demand;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Proposes loads in the order of urgency, deadline and load time, within the limits of the weight
 * store, and unloads according to its keep-alive policy.
 *
 * <p>Life cycle: one per controller; a new planner starts without history. Not thread-safe; owned
 * by the node's core.
 */
final class PolicyPlanner implements PlacementPlanner {

  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);
  private static final Duration SURPLUS_IDLE_TIME = Duration.ofSeconds(30);
  private static final double MAX_COLD_BACKLOG_SECONDS = 1;

  private final KeepAlivePolicy keepAlive;
  private final WeightStoreLimiter weightStoreLimiter = new WeightStoreLimiter();
  private final ServiceTimeEstimator serviceTime = new ServiceTimeEstimator();
  private Instant nextSweep = Instant.MIN;

  private PolicyPlanner(KeepAlivePolicy keepAlive) {
    this.keepAlive = keepAlive;
  }

  static PolicyPlanner create(KeepAlivePolicy keepAlive) {
    return new PolicyPlanner(keepAlive);
  }

  @Override
  public void recordArrivals(ModelId model, int count, Instant now) {
    keepAlive.recordArrivals(model, count, now);
    serviceTime.recordArrivals(count);
  }

  @Override
  public List<PlacementAction> plan(PlacementView view, Instant now) {
    PlanningRound round = PlanningRound.create(view, now);
    keepAlive.startRound(round);
    serviceTime.startRound(round);
    weightStoreLimiter.startRound(view.configuration().deployment(), countRemoteLoads(view), now);
    modelsToLoad(round).forEach(model -> planLoad(model, "", round));
    if (!now.isBefore(nextSweep)) {
      nextSweep = now.plus(SWEEP_INTERVAL);
      round.replicasByModel().forEach(replicas -> unloadExpired(replicas, round));
      preWarm(round);
    }
    return round.actions();
  }

  // Loads

  /** Returns the models that need another replica, the most urgent first. */
  private List<ModelSpec> modelsToLoad(PlanningRound round) {
    List<Demand> candidates = new ArrayList<>();
    for (Demand demand : round.demands()) {
      ModelSpec model = round.configuration().models().get(demand.model());
      if (model != null && demand.waiting() > 0 && needsReplica(demand, model, round)) {
        candidates.add(demand);
      }
    }
    candidates.sort(
        Comparator.comparing(Demand::urgency)
            .thenComparing(Demand::remaining)
            .thenComparing(
                demand ->
                    ColdStartCost.fastestLoadTime(
                        round.configuration().models().get(demand.model())))
            .thenComparing(Demand::model));
    return candidates.stream()
        .map(demand -> round.configuration().models().get(demand.model()))
        .toList();
  }

  private boolean needsReplica(Demand demand, ModelSpec model, PlanningRound round) {
    List<PlacedReplica> placed = round.replicas(model.id());
    List<PlacedReplica> kept = placed.stream().filter(round::isKept).toList();
    if (kept.isEmpty()) {
      return placed.size() < model.maxReplicas();
    }
    if (placed.size() >= model.maxReplicas()) {
      return false;
    }
    boolean anyReady = kept.stream().anyMatch(one -> one.phase() == PlacedPhase.READY);
    double maxBacklogSeconds =
        anyReady
            ? ColdStartCost.fastestLoadTime(model).toMillis() / 1_000.0
            : MAX_COLD_BACKLOG_SECONDS;
    return serviceTime.backlogSeconds(demand, slots(kept, round)) > maxBacklogSeconds;
  }

  private void planLoad(ModelSpec model, String preWarmReason, PlanningRound round) {
    Optional<RunnerSelector.Candidate> found = RunnerSelector.choose(model, round, keepAlive);
    if (found.isEmpty()) {
      return;
    }
    RunnerSelector.Candidate chosen = found.get();
    if (chosen.waitsForMemory()) {
      chosen
          .victims()
          .forEach(
              victim ->
                  round.proposeUnload(victim, "evicted to free memory for model " + model.id()));
      round.reserve(chosen.runner(), model.memoryBytes());
      return;
    }
    if (chosen.tier() == CheckpointTier.REMOTE && !weightStoreLimiter.tryAcquire()) {
      round.reserve(chosen.runner(), model.memoryBytes());
      return;
    }
    round.proposeLoad(
        model.id(),
        chosen.runner(),
        model.memoryBytes(),
        loadReason(model, preWarmReason, chosen, round));
  }

  private void preWarm(PlanningRound round) {
    if (!keepAlive.supportsPreWarming()) {
      return;
    }
    for (ModelSpec model : round.configuration().models().values()) {
      boolean absent = round.replicas(model.id()).isEmpty() && round.demand(model.id()) == null;
      if (absent && weightStoreLimiter.hasSpareCapacity()) {
        keepAlive.preWarmReason(model, round).ifPresent(reason -> planLoad(model, reason, round));
      }
    }
  }

  // Unloads

  private void unloadExpired(List<PlacedReplica> replicas, PlanningRound round) {
    unloadSurplus(replicas, round);
    for (PlacedReplica replica : replicas) {
      if (!round.isIdle(replica)) {
        continue;
      }
      ModelSpec model = round.configuration().models().get(replica.model());
      if (model == null || !model.version().equals(replica.version())) {
        round.proposeUnload(replica, "this version of the model is no longer in the configuration");
        continue;
      }
      keepAlive
          .unloadReason(replica, model, round)
          .ifPresent(reason -> round.proposeUnload(replica, reason));
    }
  }

  private void unloadSurplus(List<PlacedReplica> replicas, PlanningRound round) {
    List<PlacedReplica> ready =
        replicas.stream()
            .filter(replica -> replica.phase() == PlacedPhase.READY)
            .filter(round::isKept)
            .toList();
    Demand demand = round.demand(replicas.getFirst().model());
    int requests = demand == null ? 0 : demand.waiting() + demand.inFlight();
    if (ready.size() < 2 || requests > slots(ready.subList(1, ready.size()), round)) {
      return;
    }
    ready.stream()
        .filter(replica -> replica.activeRequests() == 0)
        .filter(replica -> isLongIdle(replica, round))
        .min(Comparator.comparing(PlacedReplica::lastUsed))
        .ifPresent(
            replica ->
                round.proposeUnload(
                    replica, "idle, surplus of " + ready.size() + " ready replicas"));
  }

  // Helpers

  private static boolean isLongIdle(PlacedReplica replica, PlanningRound round) {
    return KeepAlivePolicy.idleTime(replica, round.now()).compareTo(SURPLUS_IDLE_TIME) >= 0;
  }

  private static int slots(List<PlacedReplica> replicas, PlanningRound round) {
    int slots = 0;
    for (PlacedReplica replica : replicas) {
      RunnerSpec runner = round.configuration().runners().get(replica.runner());
      slots += runner == null ? 0 : runner.slots();
    }
    return slots;
  }

  private static int countRemoteLoads(PlacementView view) {
    int count = 0;
    for (PlacedReplica replica : view.replicas()) {
      if (replica.phase() == PlacedPhase.LOADING && isRemote(replica, view)) {
        count++;
      }
    }
    return count;
  }

  private static boolean isRemote(PlacedReplica replica, PlacementView view) {
    ModelSpec model = view.configuration().models().get(replica.model());
    return model == null || model.tierOn(replica.runner()) == CheckpointTier.REMOTE;
  }

  private static String loadReason(
      ModelSpec model, String preWarmReason, RunnerSelector.Candidate chosen, PlanningRound round) {
    Demand demand = round.demand(model.id());
    String cause =
        demand == null
            ? preWarmReason
            : demand.waiting()
                + " requests waiting, highest urgency "
                + demand.urgency()
                + ", earliest deadline in "
                + demand.remaining().toMillis()
                + " ms";
    return cause
        + "; checkpoint in "
        + chosen.tier()
        + ", load takes "
        + model.loadTimes().of(chosen.tier()).toMillis()
        + " ms";
  }
}
