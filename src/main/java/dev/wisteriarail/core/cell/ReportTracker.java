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
 * What engines' reports show of replicas, and which conclusions they allow although they lag.
 *
 * <p>A report that lacks a replica proves that it is gone only if it is newer than the last moment
 * at which the replica could have appeared: by its number, or because the bound on the lag of
 * reports has passed.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class ReportTracker {

  /** What a report brings. */
  enum ReportUpdate {
    /** It is older than one before. */
    STALE,
    /** It shows the same replicas in the same phases. */
    UNCHANGED,
    /** It shows something new. */
    CHANGED
  }

  /** A replica in a report. */
  private record Observation(Incarnation incarnation, long sequence, Instant receivedAt) {}

  /** The newest report of a runner. */
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

  /** Takes a report. */
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

  /** Forgets replicas that fail the test. */
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

  /** Returns how the newest report shows a replica; empty if it lacks it. */
  Optional<ReplicaStatus> latestStatus(RunnerId runner, ReplicaId replica) {
    return latestReport(runner).stream()
        .flatMap(report -> report.replicas().stream())
        .filter(status -> status.replica().equals(replica))
        .findFirst();
  }

  /**
   * Returns whether a replica is certainly not on its runner.
   *
   * @param since the moment after which no order could make it appear
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

  /** Returns whether a report came in that certainly shows the state at a given moment. */
  boolean reflectsStateAt(RunnerId runner, Instant moment) {
    LatestReport newest = latest.get(runner);
    return newest != null && !newest.receivedAt().isBefore(moment.plus(reportLag));
  }
}
