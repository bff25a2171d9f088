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
 * Proposes loads by urgency, deadline and cost within the weight store's limits, and unloads by the
 * residency rule of its policy.
 *
 * <p>Life cycle: one per controller; a new one starts without history. Not thread-safe; owned by
 * the node's core.
 */
final class PolicyPlanner implements PlacementPlanner {

  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);
  private static final Duration EXTRA_IDLE = Duration.ofSeconds(30);
  private static final double COLD_BACKLOG_SECONDS = 1;

  private final Residency residency;
  private final WeightStoreBudget weightStore = new WeightStoreBudget();
  private final ServiceTime serviceTime = new ServiceTime();
  private Instant nextSweep = Instant.MIN;

  private PolicyPlanner(Residency residency) {
    this.residency = residency;
  }

  static PolicyPlanner create(Residency residency) {
    return new PolicyPlanner(residency);
  }

  @Override
  public void recordArrivals(ModelId model, int count, Instant now) {
    residency.recordArrivals(model, count, now);
    serviceTime.recordArrivals(count);
  }

  @Override
  public List<PlacementAction> plan(PlacementView view, Instant now) {
    Round round = Round.of(view, now);
    residency.startRound(round);
    serviceTime.startRound(round);
    weightStore.startRound(view.configuration().deployment(), remoteLoads(view), now);
    wanted(round).forEach(model -> planLoad(model, "", round));
    if (!now.isBefore(nextSweep)) {
      nextSweep = now.plus(SWEEP_INTERVAL);
      round.replicasByModel().forEach(replicas -> expire(replicas, round));
      preWarm(round);
    }
    return round.actions();
  }

  // Loads

  /** Returns the models that need one more replica, the most pressing first. */
  private List<ModelSpec> wanted(Round round) {
    List<Demand> pressing = new ArrayList<>();
    for (Demand demand : round.demands()) {
      ModelSpec model = round.configuration().models().get(demand.model());
      if (model != null && demand.waiting() > 0 && needsReplica(demand, model, round)) {
        pressing.add(demand);
      }
    }
    pressing.sort(
        Comparator.comparing(Demand::urgency)
            .thenComparing(Demand::remaining)
            .thenComparing(
                demand ->
                    ColdStartCost.nearestLoad(round.configuration().models().get(demand.model())))
            .thenComparing(Demand::model));
    return pressing.stream()
        .map(demand -> round.configuration().models().get(demand.model()))
        .toList();
  }

  private boolean needsReplica(Demand demand, ModelSpec model, Round round) {
    List<PlacedReplica> placed = round.replicas(model.id());
    List<PlacedReplica> kept = placed.stream().filter(round::isKept).toList();
    if (kept.isEmpty()) {
      return placed.size() < model.maxReplicas();
    }
    if (placed.size() >= model.maxReplicas()) {
      return false;
    }
    boolean anyReady = kept.stream().anyMatch(one -> one.phase() == PlacedPhase.READY);
    double patience =
        anyReady ? ColdStartCost.nearestLoad(model).toMillis() / 1_000.0 : COLD_BACKLOG_SECONDS;
    return serviceTime.backlogSeconds(demand, slots(kept, round)) > patience;
  }

  private void planLoad(ModelSpec model, String foreseen, Round round) {
    Optional<RunnerChoice.Candidate> found = RunnerChoice.choose(model, round, residency);
    if (found.isEmpty()) {
      return;
    }
    RunnerChoice.Candidate chosen = found.get();
    if (chosen.waits()) {
      chosen
          .victims()
          .forEach(victim -> round.unload(victim, "room is needed for model " + model.id()));
      round.promise(chosen.runner(), model.memoryBytes());
      return;
    }
    if (chosen.tier() == CheckpointTier.REMOTE && !weightStore.take()) {
      round.promise(chosen.runner(), model.memoryBytes());
      return;
    }
    round.load(
        model.id(),
        chosen.runner(),
        model.memoryBytes(),
        loadReason(model, foreseen, chosen, round));
  }

  private void preWarm(Round round) {
    if (!residency.preWarms()) {
      return;
    }
    for (ModelSpec model : round.configuration().models().values()) {
      boolean absent = round.replicas(model.id()).isEmpty() && round.demand(model.id()) == null;
      if (absent && weightStore.hasSpare()) {
        residency.preWarming(model, round).ifPresent(foreseen -> planLoad(model, foreseen, round));
      }
    }
  }

  // Unloads

  private void expire(List<PlacedReplica> replicas, Round round) {
    dropExtra(replicas, round);
    for (PlacedReplica replica : replicas) {
      if (!round.isIdle(replica)) {
        continue;
      }
      ModelSpec model = round.configuration().models().get(replica.model());
      if (model == null || !model.version().equals(replica.version())) {
        round.unload(replica, "the configuration no longer has this version of the model");
        continue;
      }
      residency.expiry(replica, model, round).ifPresent(reason -> round.unload(replica, reason));
    }
  }

  private void dropExtra(List<PlacedReplica> replicas, Round round) {
    List<PlacedReplica> ready =
        replicas.stream()
            .filter(replica -> replica.phase() == PlacedPhase.READY)
            .filter(round::isKept)
            .toList();
    Demand demand = round.demand(replicas.getFirst().model());
    int wanted = demand == null ? 0 : demand.waiting() + demand.inFlight();
    if (ready.size() < 2 || wanted > slots(ready.subList(1, ready.size()), round)) {
      return;
    }
    ready.stream()
        .filter(replica -> replica.activeRequests() == 0)
        .filter(replica -> isLongIdle(replica, round))
        .min(Comparator.comparing(PlacedReplica::lastUsed))
        .ifPresent(replica -> round.unload(replica, "one of " + ready.size() + " replicas, idle"));
  }

  // Helpers

  private static boolean isLongIdle(PlacedReplica replica, Round round) {
    return Residency.idleTime(replica, round.now()).compareTo(EXTRA_IDLE) >= 0;
  }

  private static int slots(List<PlacedReplica> replicas, Round round) {
    int slots = 0;
    for (PlacedReplica replica : replicas) {
      RunnerSpec runner = round.configuration().runners().get(replica.runner());
      slots += runner == null ? 0 : runner.slots();
    }
    return slots;
  }

  private static int remoteLoads(PlacementView view) {
    int running = 0;
    for (PlacedReplica replica : view.replicas()) {
      if (replica.phase() == PlacedPhase.LOADING && isRemote(replica, view)) {
        running++;
      }
    }
    return running;
  }

  private static boolean isRemote(PlacedReplica replica, PlacementView view) {
    ModelSpec model = view.configuration().models().get(replica.model());
    return model == null || model.tierOn(replica.runner()) == CheckpointTier.REMOTE;
  }

  private static String loadReason(
      ModelSpec model, String foreseen, RunnerChoice.Candidate chosen, Round round) {
    Demand demand = round.demand(model.id());
    String why =
        demand == null
            ? foreseen
            : demand.waiting()
                + " requests wait, the most urgent "
                + demand.urgency()
                + ", the earliest deadline in "
                + demand.remaining().toMillis()
                + " ms";
    return why
        + "; checkpoint in "
        + chosen.tier()
        + ", load takes "
        + model.loadTimes().of(chosen.tier()).toMillis()
        + " ms";
  }
}
