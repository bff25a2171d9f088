package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Tracks the replicas in engine reports, which may lag behind the engine's state.
 *
 * <p>A report without a replica proves that the replica is gone only if it is certainly newer than
 * the last moment at which the replica could have appeared: by its sequence number, or because the
 * bound on the report lag has passed since then.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class ReportTracker {

  /** How a report compares with the previous one of its runner. */
  enum ReportUpdate {
    /** It is not newer than a report that was already processed. */
    STALE,
    /** It shows the same incarnation, leaving flag, and replicas in the same phases. */
    UNCHANGED,
    /** It differs from the previous report, or there is none. */
    CHANGED
  }

  /** The last report that contained a replica. */
  private record Observation(Incarnation incarnation, long sequence, Instant receivedAt) {}

  /** The latest report of a runner. */
  private record LatestReport(EngineReport report, Instant receivedAt) {}

  private final Duration reportLag;
  private final Map<RunnerId, LatestReport> latest = new TreeMap<>();
  private final Map<ReplicaId, Observation> observations = new TreeMap<>();

  private ReportTracker(Duration reportLag) {
    this.reportLag = reportLag;
  }

  static ReportTracker create(Duration reportLag) {
    return new ReportTracker(reportLag);
  }

  // Updates

  /** Processes a report unless it is stale. */
  ReportUpdate acceptReport(EngineReport report, Instant now) {
    LatestReport previous = latest.get(report.runner());
    if (previous != null && isOlder(report, previous.report())) {
      return ReportUpdate.STALE;
    }
    latest.put(report.runner(), new LatestReport(report, now));
    for (ReplicaStatus status : report.replicas()) {
      observations.put(
          status.replica(), new Observation(report.incarnation(), report.sequence(), now));
    }
    return previous != null && hasSameContent(report, previous.report())
        ? ReportUpdate.UNCHANGED
        : ReportUpdate.CHANGED;
  }

  private static boolean hasSameContent(EngineReport report, EngineReport previous) {
    return report.incarnation().equals(previous.incarnation())
        && report.leaving() == previous.leaving()
        && phases(report).equals(phases(previous));
  }

  private static Map<ReplicaId, ReplicaPhase> phases(EngineReport report) {
    Map<ReplicaId, ReplicaPhase> phases = new TreeMap<>();
    report.replicas().forEach(status -> phases.put(status.replica(), status.phase()));
    return phases;
  }

  private static boolean isOlder(EngineReport report, EngineReport previous) {
    int order = report.incarnation().compareTo(previous.incarnation());
    boolean numbered = report.sequence() > 0 && previous.sequence() > 0;
    return order < 0 || (order == 0 && numbered && report.sequence() <= previous.sequence());
  }

  /** Removes the observations of replicas that do not match. */
  void retainReplicas(Predicate<ReplicaId> retained) {
    observations.keySet().removeIf(retained.negate());
  }

  // Accessors

  Optional<EngineReport> latestReport(RunnerId runner) {
    return Optional.ofNullable(latest.get(runner)).map(LatestReport::report);
  }

  Optional<Incarnation> latestIncarnation(RunnerId runner) {
    return latestReport(runner).map(EngineReport::incarnation);
  }

  /** Returns the status of a replica in the latest report of its runner. */
  Optional<ReplicaStatus> latestStatus(RunnerId runner, ReplicaId replica) {
    return latestReport(runner).stream()
        .flatMap(report -> report.replicas().stream())
        .filter(status -> status.replica().equals(replica))
        .findFirst();
  }

  /**
   * Returns whether a replica is certainly not on its runner.
   *
   * @param since time from which no order can make it appear
   */
  boolean isGone(RunnerId runner, ReplicaId replica, Instant since) {
    LatestReport newest = latest.get(runner);
    if (newest == null || latestStatus(runner, replica).isPresent()) {
      return false;
    }
    Observation lastSeen = observations.get(replica);
    if (lastSeen != null
        && !lastSeen.receivedAt().isBefore(since)
        && isNewer(newest.report(), lastSeen)) {
      return true;
    }
    Instant lastPossible =
        lastSeen == null || lastSeen.receivedAt().isBefore(since) ? since : lastSeen.receivedAt();
    return !newest.receivedAt().isBefore(lastPossible.plus(reportLag));
  }

  private static boolean isNewer(EngineReport report, Observation lastSeen) {
    int order = report.incarnation().compareTo(lastSeen.incarnation());
    boolean numbered = report.sequence() > 0 && lastSeen.sequence() > 0;
    return order > 0 || (order == 0 && numbered && report.sequence() > lastSeen.sequence());
  }

  /** Returns whether the latest report certainly reflects the runner's state at a given moment. */
  boolean reflectsStateAt(RunnerId runner, Instant moment) {
    LatestReport newest = latest.get(runner);
    return newest != null && !newest.receivedAt().isBefore(moment.plus(reportLag));
  }
}
