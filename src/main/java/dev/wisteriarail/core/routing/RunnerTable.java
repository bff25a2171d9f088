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
 * What a node knows of the runners: their last reports, and its own attempts on them.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class RunnerTable {

  /** Age from which a report no longer shows that a runner takes work. */
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

  /** Returns an empty table. */
  public static RunnerTable create() {
    return new RunnerTable();
  }

  // Updates

  /** Sets the time on the node's clock; reports age by it, also over a pause of the node. */
  public void advance(Instant now) {
    currentTime = now;
  }

  /** Takes a report; one of an older incarnation is ignored. */
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
   * Splits a reported load into the node's own part and that of others. The report is as old as the
   * one before it was new, so the own part is what the node had running then.
   */
  private void updateOtherNodesLoad(EngineReport report) {
    int own = ownAttempts(report.runner());
    int ownAtPreviousReport = ownAtReport.getOrDefault(report.runner(), own);
    int reported = report.activeRequests() + report.queuedRequests();
    otherNodesAtReport.put(report.runner(), Math.max(0, reported - ownAtPreviousReport));
    ownAtReport.put(report.runner(), own);
  }

  /**
   * Notes that a runner takes no new work any more. Only a later run of it takes work again, so an
   * older word cannot bring it back.
   *
   * @return whether this was news
   */
  public boolean markLeaving(RunnerId runner, Incarnation incarnation) {
    Incarnation lastLeaving = leaving.getOrDefault(runner, Incarnation.NONE);
    if (incarnation.compareTo(lastLeaving) <= 0) {
      return false;
    }
    leaving.put(runner, incarnation);
    return true;
  }

  /** Takes what an engine published about its prompt cache. */
  public void acceptCacheReport(CacheReport report) {
    prefixes.acceptReport(report);
  }

  /** Notes the prompt of a request that was sent to a runner. */
  public void recordPrompt(RunnerId runner, InboundRequest request) {
    prefixes.recordSent(runner, PromptPrefixHashes.of(request));
  }

  /** Notes that a runner does not answer. */
  public void markUnreachable(RunnerId runner) {
    unreachable.add(runner);
  }

  /** Counts an attempt that was handed to a runner. */
  public void addAttempt(RunnerId runner, CustomerId customer) {
    ownAttempts.computeIfAbsent(runner, id -> new TreeMap<>()).merge(customer, 1, Integer::sum);
    ownTotals.merge(runner, 1, Integer::sum);
  }

  /** Uncounts an attempt that ended. */
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

  /** Returns the run of a runner that reported last. */
  public Incarnation incarnation(RunnerId runner) {
    return report(runner).map(EngineReport::incarnation).orElse(Incarnation.NONE);
  }

  /** Returns a number that grows whenever a runner may have got room. */
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

  /** Returns the node's own attempts on a runner. */
  public int ownAttempts(RunnerId runner) {
    return ownTotals.getOrDefault(runner, 0);
  }

  /** Returns the node's own attempts of one customer on a runner. */
  public int ownAttempts(RunnerId runner, CustomerId customer) {
    return ownAttempts.getOrDefault(runner, Map.of()).getOrDefault(customer, 0);
  }

  /** Returns the requests of other nodes on a runner, as far as its last report tells. */
  public int otherNodesAttempts(RunnerId runner) {
    return otherNodesAtReport.getOrDefault(runner, 0);
  }

  /** Returns the part of a prompt that a runner is believed to have in its cache, from 0 to 1. */
  double cachedShare(RunnerId runner, List<Long> promptPrefixes) {
    return prefixes.matchedShare(runner, promptPrefixes);
  }

  /** Returns the replicas of a model that take requests, on usable runners. */
  public List<ReadyReplica> readyReplicas(ModelId model) {
    List<ReadyReplica> ready = new ArrayList<>();
    for (ReadyReplica replica : byModel.getOrDefault(model, Map.of()).values()) {
      if (replica.status().phase() == ReplicaPhase.READY && isUsable(replica.runner())) {
        ready.add(replica);
      }
    }
    return ready;
  }

  /** Returns whether a model is ready or being loaded on a usable runner. */
  public boolean isLoadingOrReady(ModelId model) {
    return byModel.getOrDefault(model, Map.of()).values().stream()
        .filter(replica -> replica.status().phase() != ReplicaPhase.UNLOADING)
        .anyMatch(replica -> isUsable(replica.runner()));
  }
}
