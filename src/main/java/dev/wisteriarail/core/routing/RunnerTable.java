package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.engine.CacheReport;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.request.InboundRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The state of the runners as seen by a node: their last reports and the node's own attempts.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class RunnerTable {

  /** Age at which a report expires and the runner counts as unusable. */
  static final Duration REPORT_EXPIRY = Duration.ofSeconds(5);

  private final Map<RunnerId, Instant> reportedAt = new TreeMap<>();
  private final Map<RunnerId, EngineReport> reports = new TreeMap<>();
  private final Map<ModelId, Map<ReplicaId, ReadyReplica>> byModel = new TreeMap<>();
  private final Map<RunnerId, Incarnation> leaving = new TreeMap<>();
  private final Set<RunnerId> unreachable = new TreeSet<>();
  private final Map<RunnerId, Map<CustomerId, Integer>> ownAttempts = new TreeMap<>();
  private final Map<RunnerId, Integer> ownTotals = new TreeMap<>();
  private final Map<RunnerId, Integer> ownAtReport = new TreeMap<>();
  private final Map<RunnerId, Integer> otherNodesAtReport = new TreeMap<>();
  private final PrefixIndex prefixes = new PrefixIndex();
  private Instant currentTime = Instant.EPOCH;
  private long version;

  private RunnerTable() {}

  /** Creates an empty table. */
  public static RunnerTable create() {
    return new RunnerTable();
  }

  // Updates

  /** Sets the current time, by which reports expire even if the node itself was paused. */
  public void advance(Instant now) {
    currentTime = now;
  }

  /** Processes a report; a report of an older incarnation is ignored. */
  public void acceptReport(EngineReport report) {
    EngineReport previous = reports.get(report.runner());
    if (previous != null && previous.incarnation().compareTo(report.incarnation()) > 0) {
      return;
    }
    if (report.leaving()) {
      markLeaving(report.runner(), report.incarnation());
    }
    unreachable.remove(report.runner());
    reports.put(report.runner(), report);
    reportedAt.put(report.runner(), currentTime);
    if (previous == null || !previous.replicas().equals(report.replicas())) {
      reindex(previous, report);
    }
    updateOtherNodesLoad(report);
    version++;
  }

  private void reindex(EngineReport previous, EngineReport report) {
    if (previous != null) {
      previous.replicas().forEach(this::unindex);
    }
    for (ReplicaStatus status : report.replicas()) {
      byModel
          .computeIfAbsent(status.model(), model -> new TreeMap<>())
          .put(status.replica(), new ReadyReplica(report.runner(), status));
    }
  }

  private void unindex(ReplicaStatus status) {
    Map<ReplicaId, ReadyReplica> replicas = byModel.get(status.model());
    if (replicas != null) {
      replicas.remove(status.replica());
    }
  }

  /**
   * Derives the load of other nodes from a reported load by subtracting the node's own attempts.
   * Reports lag by about one report interval, so the number of own attempts at the time of the
   * previous report is subtracted.
   */
  private void updateOtherNodesLoad(EngineReport report) {
    int own = ownAttempts(report.runner());
    int ownAtPreviousReport = ownAtReport.getOrDefault(report.runner(), own);
    int reported = report.activeRequests() + report.queuedRequests();
    otherNodesAtReport.put(report.runner(), Math.max(0, reported - ownAtPreviousReport));
    ownAtReport.put(report.runner(), own);
  }

  /**
   * Marks an incarnation of a runner as leaving: it accepts no new work. Only a later incarnation
   * is usable again, so a delayed report cannot undo the mark.
   *
   * @return whether the incarnation was not marked before
   */
  public boolean markLeaving(RunnerId runner, Incarnation incarnation) {
    Incarnation lastLeaving = leaving.getOrDefault(runner, Incarnation.NONE);
    if (incarnation.compareTo(lastLeaving) <= 0) {
      return false;
    }
    leaving.put(runner, incarnation);
    return true;
  }

  /** Processes a report of an engine's prompt cache. */
  public void acceptCacheReport(CacheReport report) {
    prefixes.acceptReport(report);
  }

  /** Records the prompt of a request that was sent to a runner. */
  public void recordPrompt(RunnerId runner, InboundRequest request) {
    prefixes.recordSent(runner, PromptPrefixHashes.of(request));
  }

  /** Marks a runner as unreachable until its next report. */
  public void markUnreachable(RunnerId runner) {
    unreachable.add(runner);
  }

  /** Counts an attempt that was sent to a runner. */
  public void addAttempt(RunnerId runner, CustomerId customer) {
    ownAttempts.computeIfAbsent(runner, id -> new TreeMap<>()).merge(customer, 1, Integer::sum);
    ownTotals.merge(runner, 1, Integer::sum);
  }

  /** Removes an attempt that ended from the count. */
  public void removeAttempt(RunnerId runner, CustomerId customer) {
    ownAttempts.computeIfAbsent(runner, id -> new TreeMap<>()).merge(customer, -1, Integer::sum);
    ownTotals.merge(runner, -1, Integer::sum);
    version++;
  }

  // Accessors

  /** Returns a runner's last report. */
  public Optional<EngineReport> report(RunnerId runner) {
    return Optional.ofNullable(reports.get(runner));
  }

  /** Returns the incarnation in a runner's last report, or {@link Incarnation#NONE}. */
  public Incarnation incarnation(RunnerId runner) {
    return report(runner).map(EngineReport::incarnation).orElse(Incarnation.NONE);
  }

  /** Returns a version number that increases whenever a runner may have gained capacity. */
  public long version() {
    return version;
  }

  /** Returns whether a runner may get new work. */
  public boolean isUsable(RunnerId runner) {
    EngineReport report = reports.get(runner);
    return report != null
        && !unreachable.contains(runner)
        && !isLeaving(report)
        && currentTime.isBefore(reportedAt.get(runner).plus(REPORT_EXPIRY));
  }

  private boolean isLeaving(EngineReport report) {
    Incarnation lastLeaving = leaving.getOrDefault(report.runner(), Incarnation.NONE);
    return report.incarnation().compareTo(lastLeaving) <= 0
        && !lastLeaving.equals(Incarnation.NONE);
  }

  /** Returns the number of the node's own attempts on a runner. */
  public int ownAttempts(RunnerId runner) {
    return ownTotals.getOrDefault(runner, 0);
  }

  /** Returns the number of the node's own attempts on a runner for one customer. */
  public int ownAttempts(RunnerId runner, CustomerId customer) {
    return ownAttempts.getOrDefault(runner, Map.of()).getOrDefault(customer, 0);
  }

  /** Returns the number of requests of other nodes on a runner, estimated from its last report. */
  public int otherNodesAttempts(RunnerId runner) {
    return otherNodesAtReport.getOrDefault(runner, 0);
  }

  /** Returns the estimated share of a prompt in a runner's cache, from 0 to 1. */
  double cachedShare(RunnerId runner, List<Long> promptPrefixes) {
    return prefixes.matchedShare(runner, promptPrefixes);
  }

  /** Returns the ready replicas of a model on usable runners. */
  public List<ReadyReplica> readyReplicas(ModelId model) {
    List<ReadyReplica> ready = new ArrayList<>();
    for (ReadyReplica replica : byModel.getOrDefault(model, Map.of()).values()) {
      if (replica.status().phase() == ReplicaPhase.READY && isUsable(replica.runner())) {
        ready.add(replica);
      }
    }
    return ready;
  }

  /** Returns whether a usable runner has a model loaded or is loading it. */
  public boolean isLoadingOrReady(ModelId model) {
    return byModel.getOrDefault(model, Map.of()).values().stream()
        .filter(replica -> replica.status().phase() != ReplicaPhase.UNLOADING)
        .anyMatch(replica -> isUsable(replica.runner()));
  }
}
