package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.RecordBody;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reconciles engines with the reservations: orders missing replicas, unloads undecided ones, and
 * closes a reservation only when no order can make its replica appear again.
 *
 * <p>Acts on the current state alone, so that it behaves the same after a takeover as after a lost
 * answer.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class Reconciler {

  private final NodeSettings settings;
  private final CellState cellState;
  private final PendingRecords pendingRecords;
  private final OrderTracker orderTracker;
  private final ReportTracker reportTracker;
  private final RunnerEligibility eligibility;
  private final PredecessorOrders predecessorOrders;

  Reconciler(
      NodeSettings settings,
      CellState cellState,
      PendingRecords pendingRecords,
      OrderTracker orderTracker,
      ReportTracker reportTracker,
      RunnerEligibility eligibility,
      PredecessorOrders predecessorOrders) {
    this.settings = settings;
    this.cellState = cellState;
    this.pendingRecords = pendingRecords;
    this.orderTracker = orderTracker;
    this.reportTracker = reportTracker;
    this.eligibility = eligibility;
    this.predecessorOrders = predecessorOrders;
  }

  /** Raises the fencing number on all runners, and reconciles all reservations and reports. */
  void advance(Configuration configuration, Step step) {
    for (RunnerSpec runner : configuration.runners().values()) {
      if (runner.role() == RunnerRole.MODEL) {
        eligibility.raiseFence(runner.id(), orderTracker, cellState.fence(), step);
      }
    }
    for (Reservation reservation : List.copyOf(cellState.reservations())) {
      reconcile(reservation, configuration, step);
    }
    Set<ReplicaId> reportedReplicas = new TreeSet<>();
    for (RunnerId runner : configuration.runners().keySet()) {
      reportTracker
          .latestReport(runner)
          .ifPresent(report -> unloadUndecided(report, reportedReplicas, step));
    }
    orderTracker.retainReplicas(
        id -> reportedReplicas.contains(id) || cellState.reservation(id).isPresent());
    reportTracker.retainReplicas(
        id -> reportedReplicas.contains(id) || cellState.reservation(id).isPresent());
  }

  private void reconcile(Reservation reservation, Configuration configuration, Step step) {
    Optional<Instant> settledSince = settledSince(reservation, configuration, step.now());
    Optional<ReplicaStatus> status =
        reportTracker.latestStatus(reservation.runner(), reservation.replica());
    boolean gone =
        settledSince
            .filter(
                since -> reportTracker.isGone(reservation.runner(), reservation.replica(), since))
            .isPresent();
    if (isLoadRefused(reservation, step.now())) {
      recordClosed(reservation, "its engine refused to load it", step);
    } else if (reservation.unloading()) {
      reconcileUnloading(reservation, status, gone, configuration, step);
    } else if (status.isPresent()) {
      reconcilePresent(reservation, settledSince.isPresent(), step);
    } else {
      reconcileMissing(reservation, gone, step);
    }
  }

  /** Returns since when no order can make the replica appear; empty while one still may. */
  private Optional<Instant> settledSince(
      Reservation reservation, Configuration configuration, Instant now) {
    if (!orderTracker.isLoadSettled(reservation.replica(), now)) {
      return Optional.empty();
    }
    Instant ownSince = orderTracker.loadSettledSince(reservation.replica());
    return predecessorOrders
        .quiescentSince(reservation, configuration, now)
        .map(
            predecessorsSince ->
                predecessorsSince.isAfter(ownSince) ? predecessorsSince : ownSince);
  }

  private boolean isLoadRefused(Reservation reservation, Instant now) {
    return reservation.fence().equals(cellState.fence())
        && orderTracker.wasLoadRefused(reservation.replica(), now);
  }

  private void reconcileUnloading(
      Reservation reservation,
      Optional<ReplicaStatus> status,
      boolean gone,
      Configuration configuration,
      Step step) {
    boolean runnerRemoved = !configuration.runners().containsKey(reservation.runner());
    if (gone
        || (runnerRemoved && settledSince(reservation, configuration, step.now()).isPresent())) {
      recordClosed(
          reservation, runnerRemoved ? "its runner was removed" : "unloading was seen", step);
      return;
    }
    boolean unloadInProgress =
        status.filter(replicaStatus -> replicaStatus.phase() == ReplicaPhase.UNLOADING).isPresent()
            || (status.isEmpty() && orderTracker.wasUnloadConfirmed(reservation.replica()));
    if (!runnerRemoved
        && !unloadInProgress
        && orderTracker.maySend(reservation.replica(), step.now())) {
      sendOrder(reservation, new EngineOrder.UnloadReplica(reservation.replica()), step);
    }
  }

  private void reconcilePresent(Reservation reservation, boolean isSettled, Step step) {
    eligibility.onLoadSucceeded(reservation.runner());
    if (!isSettled
        || reservation.settled()
        || pendingRecords.anyMatch(body -> isSettlementOf(body, reservation.replica()))) {
      return;
    }
    pendingRecords.append(
        new RecordBody.LoadSettled(settings.cell(), cellState.fence(), reservation.replica()),
        step);
  }

  private void reconcileMissing(Reservation reservation, boolean gone, Step step) {
    boolean wasLoaded =
        reservation.settled() || orderTracker.wasLoadConfirmed(reservation.replica());
    if (wasLoaded && gone) {
      recordClosed(reservation, "its engine lost it", step);
    } else if (!wasLoaded
        && eligibility.hasAcceptedFence(reservation.runner())
        && orderTracker.maySend(reservation.replica(), step.now())) {
      sendOrder(
          reservation,
          new EngineOrder.LoadReplica(
              reservation.replica(),
              reservation.model(),
              reservation.version(),
              reservation.bytes()),
          step);
    }
  }

  private void unloadUndecided(EngineReport report, Set<ReplicaId> reportedReplicas, Step step) {
    for (ReplicaStatus status : report.replicas()) {
      reportedReplicas.add(status.replica());
      boolean undecided =
          cellState.reservation(status.replica()).isEmpty()
              && status.phase() != ReplicaPhase.UNLOADING
              && eligibility.hasAcceptedFence(report.runner());
      if (undecided && orderTracker.maySend(status.replica(), step.now())) {
        step.log(
            EventCode.REPLICA_UNDECIDED, "replica", status.replica(), "runner", report.runner());
        orderTracker.send(
            report.runner(),
            Optional.of(status.replica()),
            new EngineOrder.UnloadReplica(status.replica()),
            cellState.fence(),
            step);
      }
    }
  }

  // Helpers

  private void sendOrder(Reservation reservation, EngineOrder body, Step step) {
    orderTracker.send(
        reservation.runner(), Optional.of(reservation.replica()), body, cellState.fence(), step);
  }

  private void recordClosed(Reservation reservation, String reason, Step step) {
    if (!pendingRecords.anyMatch(body -> isCloseOf(body, reservation.replica()))) {
      pendingRecords.append(
          new RecordBody.ReplicaClosed(
              settings.cell(), cellState.fence(), reservation.replica(), reason),
          step);
    }
  }

  private static boolean isCloseOf(RecordBody body, ReplicaId replica) {
    return body instanceof RecordBody.ReplicaClosed closed && closed.replica().equals(replica);
  }

  private static boolean isSettlementOf(RecordBody body, ReplicaId replica) {
    return body instanceof RecordBody.LoadSettled settled && settled.replica().equals(replica);
  }
}
