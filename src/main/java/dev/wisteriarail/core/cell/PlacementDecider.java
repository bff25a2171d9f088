package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.placement.PlacedPhase;
import dev.wisteriarail.core.placement.PlacedReplica;
import dev.wisteriarail.core.placement.PlacementAction;
import dev.wisteriarail.core.placement.PlacementPlanner;
import dev.wisteriarail.core.placement.PlacementView;
import dev.wisteriarail.core.routing.RunnerTable;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides which replicas to load and unload: asks the planner, checks its proposals against
 * reservations and limits, and appends those that pass to the log.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class PlacementDecider {

  private final NodeSettings settings;
  private final CellState cellState;
  private final PendingRecords pendingRecords;
  private final ReportTracker reportTracker;
  private final RunnerMemory runnerMemory;
  private final DemandAggregator demandAggregator;
  private final PlacementPlanner planner;
  private final SuccessionManager successionManager;
  private final Map<ReplicaId, Instant> lastUsed = new TreeMap<>();
  private final Map<RunnerId, Instant> unusableSince = new TreeMap<>();
  private long sequence;

  PlacementDecider(
      NodeSettings settings,
      CellState cellState,
      PendingRecords pendingRecords,
      ReportTracker reportTracker,
      RunnerMemory runnerMemory,
      DemandAggregator demandAggregator,
      PlacementPlanner planner,
      SuccessionManager successionManager) {
    this.settings = settings;
    this.cellState = cellState;
    this.pendingRecords = pendingRecords;
    this.reportTracker = reportTracker;
    this.runnerMemory = runnerMemory;
    this.demandAggregator = demandAggregator;
    this.planner = planner;
    this.successionManager = successionManager;
  }

  // Updates

  /** Restarts the time for which runners have been unusable; called when control is gained. */
  void reset() {
    unusableSince.clear();
  }

  /** Updates the time of last use of each replica that has active requests. */
  void updateLastUsed(EngineReport report, Instant now) {
    for (ReplicaStatus status : report.replicas()) {
      if (status.activeRequests() > 0) {
        lastUsed.put(status.replica(), now);
      }
    }
  }

  /** Processes a record that was applied to the cell's state. */
  void onRecordApplied(RecordBody body, Step step) {
    switch (body) {
      case RecordBody.LoadDecided load -> {
        lastUsed.put(load.replica(), step.now());
        step.log(
            EventCode.LOAD_DECIDED,
            "replica",
            load.replica(),
            "runner",
            load.runner(),
            "fence",
            load.fence());
      }
      case RecordBody.UnloadDecided unload ->
          step.log(EventCode.UNLOAD_DECIDED, "replica", unload.replica());
      case RecordBody.ReplicaClosed closed -> {
        lastUsed.remove(closed.replica());
        step.log(EventCode.REPLICA_CLOSED, "replica", closed.replica(), "reason", closed.reason());
      }
      default -> {}
    }
  }

  /** Appends unload decisions for replicas that can't be used, then those the planner proposes. */
  void advance(Step step, ControllerContext context) {
    if (context.log().isDown(step.now())) {
      pendingRecords.withdraw(this::isObsoleteLoad);
    }
    for (Reservation reservation : cellState.reservations()) {
      if (!reservation.unloading() && mustBeUnloaded(reservation, context, step.now())) {
        decideUnload(reservation.replica(), step);
      }
    }
    PlacementView view = placementView(context, step.now());
    for (PlacementAction action : planner.plan(view, step.now())) {
      switch (action) {
        case PlacementAction.Load load -> decideLoad(load, context, step);
        case PlacementAction.Unload unload -> decideUnload(unload.replica(), step);
      }
    }
  }

  /** Returns whether a record decides a load for whose model no request is waiting any more. */
  private boolean isObsoleteLoad(RecordBody body) {
    return body instanceof RecordBody.LoadDecided load
        && demandAggregator.merged().stream()
            .noneMatch(demand -> demand.model().equals(load.model()) && demand.waiting() > 0);
  }

  /**
   * Returns whether a replica can't be used where it is: its runner or model was removed, its
   * reservation is smaller than its model, or its runner is leaving or has been unusable for long.
   */
  private boolean mustBeUnloaded(Reservation reservation, ControllerContext context, Instant now) {
    RunnerSpec runner = context.configuration().runners().get(reservation.runner());
    boolean removed =
        runner == null
            || runner.role() != RunnerRole.MODEL
            || !context.configuration().models().containsKey(reservation.model());
    boolean reservedTooLittle =
        !removed
            && context.configuration().models().get(reservation.model()).memoryBytes()
                > reservation.bytes();
    boolean leaving =
        reportTracker.latestReport(reservation.runner()).filter(EngineReport::leaving).isPresent();
    return removed
        || reservedTooLittle
        || leaving
        || isUnusableTooLong(reservation.runner(), context.runners(), now);
  }

  private boolean isUnusableTooLong(RunnerId runner, RunnerTable runners, Instant now) {
    if (runners.isUsable(runner)) {
      unusableSince.remove(runner);
      return false;
    }
    Instant since = unusableSince.computeIfAbsent(runner, id -> now);
    return !now.isBefore(since.plus(settings.timings().cells().runnerLostAfter()));
  }

  private void decideLoad(PlacementAction.Load load, ControllerContext context, Step step) {
    ModelSpec model = context.configuration().models().get(load.model());
    Map<RunnerId, Long> free =
        runnerMemory.freeBytes(context.configuration(), context.runners(), step.now());
    boolean fits =
        model != null
            && free.getOrDefault(load.runner(), 0L) >= model.memoryBytes()
            && countReplicas(model.id(), step.now())
                    + countUnknownReplicas(context.configuration(), step.now())
                < model.maxReplicas();
    if (!fits) {
      return;
    }
    sequence++;
    ReplicaId replica = ReplicaId.of(load.model() + "." + cellState.fence() + "." + sequence);
    pendingRecords.append(
        new RecordBody.LoadDecided(
            settings.cell(),
            cellState.fence(),
            replica,
            load.model(),
            model.version(),
            load.runner(),
            model.memoryBytes()),
        step);
  }

  private void decideUnload(ReplicaId replica, Step step) {
    boolean alreadyDecided =
        cellState.reservation(replica).filter(reservation -> !reservation.unloading()).isEmpty()
            || pendingRecords.anyMatch(body -> isUnloadOf(body, replica));
    if (!alreadyDecided) {
      pendingRecords.append(
          new RecordBody.UnloadDecided(settings.cell(), cellState.fence(), replica), step);
    }
  }

  // Helpers

  private PlacementView placementView(ControllerContext context, Instant now) {
    List<PlacedReplica> placed = new ArrayList<>();
    cellState.reservations().stream()
        .filter(reservation -> countsTowardLimit(reservation, now))
        .forEach(reservation -> placed.add(toPlacedReplica(reservation, now)));
    for (RecordBody.LoadDecided load : pendingRecords.pendingLoads()) {
      placed.add(toPlacedReplica(load, now));
    }
    Configuration configuration = context.configuration();
    return new PlacementView(
        configuration,
        demandAggregator.merged(),
        placed,
        runnerMemory.freeBytes(configuration, context.runners(), now));
  }

  private PlacedReplica toPlacedReplica(Reservation reservation, Instant now) {
    Optional<ReplicaStatus> status =
        reportTracker.latestStatus(reservation.runner(), reservation.replica());
    boolean isReady =
        status.filter(replicaStatus -> replicaStatus.phase() == ReplicaPhase.READY).isPresent();
    PlacedPhase loadPhase = isReady ? PlacedPhase.READY : PlacedPhase.LOADING;
    boolean isUnloading =
        reservation.unloading()
            || pendingRecords.anyMatch(body -> isUnloadOf(body, reservation.replica()));
    return new PlacedReplica(
        reservation.replica(),
        reservation.model(),
        reservation.version(),
        reservation.runner(),
        reservation.bytes(),
        isUnloading ? PlacedPhase.UNLOADING : loadPhase,
        status.map(ReplicaStatus::activeRequests).orElse(0),
        lastUsed.computeIfAbsent(reservation.replica(), id -> now));
  }

  private static PlacedReplica toPlacedReplica(RecordBody.LoadDecided load, Instant now) {
    return new PlacedReplica(
        load.replica(),
        load.model(),
        load.version(),
        load.runner(),
        load.bytes(),
        PlacedPhase.LOADING,
        0,
        now);
  }

  /**
   * Returns the number of a model's counted replicas, including loads that are not in force yet.
   */
  private long countReplicas(ModelId model, Instant now) {
    long decidedCount =
        cellState.reservations().stream()
            .filter(reservation -> reservation.model().equals(model))
            .filter(reservation -> countsTowardLimit(reservation, now))
            .count();
    long pendingCount =
        pendingRecords.pendingLoads().stream().filter(load -> load.model().equals(model)).count();
    return decidedCount + pendingCount;
  }

  /**
   * Returns 1 while an earlier controller may have placed a replica that this node doesn't know of,
   * otherwise 0.
   */
  private long countUnknownReplicas(Configuration configuration, Instant now) {
    boolean unknownPossible =
        successionManager.hasUnknownDecisions()
            && configuration.runners().values().stream()
                .filter(runner -> runner.role() == RunnerRole.MODEL)
                .anyMatch(runner -> !successionManager.reportsCoverUnknownDecisions(runner, now));
    return unknownPossible ? 1 : 0;
  }

  /**
   * Returns whether a replica counts. It stops counting only if it is to be unloaded and its runner
   * has been unusable for so long that it counts as empty.
   */
  private boolean countsTowardLimit(Reservation reservation, Instant now) {
    Instant since = unusableSince.getOrDefault(reservation.runner(), now);
    return !reservation.unloading()
        || now.isBefore(since.plus(settings.timings().cells().closeAfter()));
  }

  private static boolean isUnloadOf(RecordBody body, ReplicaId replica) {
    return body instanceof RecordBody.UnloadDecided unload && unload.replica().equals(replica);
  }
}
