package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.routing.RunnerTable;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Computes the free accelerator memory of each runner, in bytes.
 *
 * <p>A decision counts as soon as it is appended. If an engine reports more memory in use than the
 * decided replicas on it need, the larger figure counts, so that the memory of an undecided replica
 * is not given away until the replica is gone. A runner that is unreachable, leaving, or has not
 * accepted the controller's fencing number counts as full.
 *
 * <p>Stateless. Owned by the node's core.
 */
final class RunnerMemory {

  private final CellState cellState;
  private final PendingRecords pendingRecords;
  private final ReportTracker reportTracker;
  private final RunnerEligibility eligibility;
  private final SuccessionManager successionManager;

  RunnerMemory(
      CellState cellState,
      PendingRecords pendingRecords,
      ReportTracker reportTracker,
      RunnerEligibility eligibility,
      SuccessionManager successionManager) {
    this.cellState = cellState;
    this.pendingRecords = pendingRecords;
    this.reportTracker = reportTracker;
    this.eligibility = eligibility;
    this.successionManager = successionManager;
  }

  /** Returns the free memory of each runner that may receive new loads. */
  Map<RunnerId, Long> freeBytes(Configuration configuration, RunnerTable runners, Instant now) {
    Map<RunnerId, Long> freeBytes = new TreeMap<>();
    for (RunnerSpec runner : configuration.runners().values()) {
      boolean usable =
          runner.role() == RunnerRole.MODEL
              && runners.isUsable(runner.id())
              && eligibility.isEligible(runner.id(), now)
              && successionManager.reportsCoverUnknownDecisions(runner, now);
      if (usable) {
        freeBytes.put(runner.id(), runner.memoryBytes() - usedBytes(runner.id()));
      }
    }
    return freeBytes;
  }

  private long usedBytes(RunnerId runner) {
    List<Reservation> reservations =
        cellState.reservations().stream()
            .filter(reservation -> reservation.runner().equals(runner))
            .toList();
    long reservedBytes = reservations.stream().mapToLong(Reservation::bytes).sum();
    long reportedBytes =
        reportTracker.latestReport(runner).map(EngineReport::memoryUsedBytes).orElse(0L);
    Set<ReplicaId> reportedReplicas = reportedReplicas(runner);
    long unreportedBytes =
        reservations.stream()
            .filter(reservation -> !reportedReplicas.contains(reservation.replica()))
            .mapToLong(Reservation::bytes)
            .sum();
    return Math.max(reservedBytes, reportedBytes + unreportedBytes) + pendingBytes(runner);
  }

  private Set<ReplicaId> reportedReplicas(RunnerId runner) {
    return reportTracker.latestReport(runner).stream()
        .flatMap(report -> report.replicas().stream())
        .map(ReplicaStatus::replica)
        .collect(Collectors.toSet());
  }

  private long pendingBytes(RunnerId runner) {
    return pendingRecords.pendingLoads().stream()
        .filter(load -> load.runner().equals(runner))
        .mapToLong(RecordBody.LoadDecided::bytes)
        .sum();
  }
}
