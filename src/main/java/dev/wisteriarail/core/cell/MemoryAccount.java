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
 * Counts the accelerator memory that is free on each runner, in bytes.
 *
 * <p>Decisions count from their appending on. Where an engine reports more memory than the decided
 * replicas on it hold, the larger figure counts, so that a replica that nobody decided is paid for
 * until it is gone. A runner that is out of reach, leaving, or has not taken the controller's
 * fencing number counts as full.
 *
 * <p>Stateless. Owned by the node's core.
 */
final class MemoryAccount {

  private final CellLedger ledger;
  private final PendingRecords pending;
  private final Sightings sightings;
  private final RunnerGates gates;
  private final Succession succession;

  MemoryAccount(
      CellLedger ledger,
      PendingRecords pending,
      Sightings sightings,
      RunnerGates gates,
      Succession succession) {
    this.ledger = ledger;
    this.pending = pending;
    this.sightings = sightings;
    this.gates = gates;
    this.succession = succession;
  }

  /** Returns the free memory of each runner that may get new loads. */
  Map<RunnerId, Long> free(Configuration configuration, RunnerTable runners, Instant now) {
    Map<RunnerId, Long> free = new TreeMap<>();
    for (RunnerSpec runner : configuration.runners().values()) {
      boolean usable =
          runner.role() == RunnerRole.MODEL
              && runners.isUsable(runner.id())
              && gates.isOpen(runner.id(), now)
              && succession.isSafe(runner, now);
      if (usable) {
        free.put(runner.id(), runner.memoryBytes() - taken(runner.id()));
      }
    }
    return free;
  }

  private long taken(RunnerId runner) {
    List<Reservation> reserved =
        ledger.reservations().stream().filter(held -> held.runner().equals(runner)).toList();
    long decided = reserved.stream().mapToLong(Reservation::bytes).sum();
    long reported = sightings.report(runner).map(EngineReport::memoryUsedBytes).orElse(0L);
    Set<ReplicaId> present = present(runner);
    long coming =
        reserved.stream()
            .filter(held -> !present.contains(held.replica()))
            .mapToLong(Reservation::bytes)
            .sum();
    return Math.max(decided, reported + coming) + appended(runner);
  }

  private Set<ReplicaId> present(RunnerId runner) {
    return sightings.report(runner).stream()
        .flatMap(report -> report.replicas().stream())
        .map(ReplicaStatus::replica)
        .collect(Collectors.toSet());
  }

  private long appended(RunnerId runner) {
    return pending.loads().stream()
        .filter(load -> load.runner().equals(runner))
        .mapToLong(RecordBody.LoadDecided::bytes)
        .sum();
  }
}
