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
final class Sightings {

  /** What a report brings. */
  enum News {
    /** It is older than one before. */
    STALE,
    /** It shows the same replicas in the same phases. */
    SAME,
    /** It shows something new. */
    CHANGED
  }

  /** A replica in a report. */
  private record Sighting(Incarnation incarnation, long sequence, Instant at) {}

  /** The newest report of a runner. */
  private record Latest(EngineReport report, Instant at) {}

  private final Duration reportLag;
  private final Map<RunnerId, Latest> latest = new TreeMap<>();
  private final Map<ReplicaId, Sighting> sightings = new TreeMap<>();

  private Sightings(Duration reportLag) {
    this.reportLag = reportLag;
  }

  static Sightings create(Duration reportLag) {
    return new Sightings(reportLag);
  }

  // Updates

  /** Takes a report. */
  News accept(EngineReport report, Instant now) {
    Latest known = latest.get(report.runner());
    if (known != null && isOlder(report, known.report())) {
      return News.STALE;
    }
    latest.put(report.runner(), new Latest(report, now));
    for (ReplicaStatus status : report.replicas()) {
      sightings.put(status.replica(), new Sighting(report.incarnation(), report.sequence(), now));
    }
    return known != null && isSame(report, known.report()) ? News.SAME : News.CHANGED;
  }

  private static boolean isSame(EngineReport report, EngineReport known) {
    return report.incarnation().equals(known.incarnation())
        && report.leaving() == known.leaving()
        && phases(report).equals(phases(known));
  }

  private static Map<ReplicaId, ReplicaPhase> phases(EngineReport report) {
    Map<ReplicaId, ReplicaPhase> phases = new TreeMap<>();
    report.replicas().forEach(status -> phases.put(status.replica(), status.phase()));
    return phases;
  }

  private static boolean isOlder(EngineReport report, EngineReport known) {
    int order = report.incarnation().compareTo(known.incarnation());
    boolean numbered = report.sequence() > 0 && known.sequence() > 0;
    return order < 0 || (order == 0 && numbered && report.sequence() <= known.sequence());
  }

  /** Forgets replicas that fail the test. */
  void retain(Predicate<ReplicaId> wanted) {
    sightings.keySet().removeIf(wanted.negate());
  }

  // Accessors

  Optional<EngineReport> report(RunnerId runner) {
    return Optional.ofNullable(latest.get(runner)).map(Latest::report);
  }

  Optional<Incarnation> incarnation(RunnerId runner) {
    return report(runner).map(EngineReport::incarnation);
  }

  /** Returns how the newest report shows a replica; empty if it lacks it. */
  Optional<ReplicaStatus> status(RunnerId runner, ReplicaId replica) {
    return report(runner).stream()
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
    Latest newest = latest.get(runner);
    if (newest == null || status(runner, replica).isPresent()) {
      return false;
    }
    Sighting seen = sightings.get(replica);
    if (seen != null && !seen.at().isBefore(since) && isLater(newest.report(), seen)) {
      return true;
    }
    Instant last = seen == null || seen.at().isBefore(since) ? since : seen.at();
    return !newest.at().isBefore(last.plus(reportLag));
  }

  private static boolean isLater(EngineReport report, Sighting seen) {
    int order = report.incarnation().compareTo(seen.incarnation());
    boolean numbered = report.sequence() > 0 && seen.sequence() > 0;
    return order > 0 || (order == 0 && numbered && report.sequence() > seen.sequence());
  }

  /** Returns whether a report came in that certainly shows the state at a given moment. */
  boolean shows(RunnerId runner, Instant moment) {
    Latest newest = latest.get(runner);
    return newest != null && !newest.at().isBefore(moment.plus(reportLag));
  }
}
