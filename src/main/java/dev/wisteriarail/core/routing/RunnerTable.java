package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
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

  private final Map<RunnerId, EngineReport> reports = new TreeMap<>();
  private final Set<RunnerId> unreachable = new TreeSet<>();
  private final Map<RunnerId, Integer> ownAttempts = new TreeMap<>();

  private RunnerTable() {}

  /** Returns an empty table. */
  public static RunnerTable create() {
    return new RunnerTable();
  }

  // Updates

  /** Takes a report; one of an older incarnation is ignored. */
  public void acceptReport(EngineReport report) {
    EngineReport known = reports.get(report.runner());
    if (known != null && known.incarnation().compareTo(report.incarnation()) > 0) {
      return;
    }
    unreachable.remove(report.runner());
    reports.put(report.runner(), report);
  }

  /** Notes that a runner does not answer. */
  public void markUnreachable(RunnerId runner) {
    unreachable.add(runner);
  }

  /** Counts an attempt that was handed to a runner. */
  public void addAttempt(RunnerId runner) {
    ownAttempts.merge(runner, 1, Integer::sum);
  }

  /** Uncounts an attempt that ended. */
  public void removeAttempt(RunnerId runner) {
    ownAttempts.merge(runner, -1, Integer::sum);
  }

  // Accessors

  /** Returns a runner's last report. */
  public Optional<EngineReport> report(RunnerId runner) {
    return Optional.ofNullable(reports.get(runner));
  }

  /** Returns whether a runner may get new work. */
  public boolean isUsable(RunnerId runner) {
    EngineReport report = reports.get(runner);
    return report != null && !report.leaving() && !unreachable.contains(runner);
  }

  /** Returns the node's own attempts on a runner. */
  public int ownAttempts(RunnerId runner) {
    return ownAttempts.getOrDefault(runner, 0);
  }

  /** Returns the replicas of a model that take requests, on usable runners. */
  public List<ReadyReplica> readyReplicas(ModelId model) {
    List<ReadyReplica> ready = new ArrayList<>();
    for (EngineReport report : reports.values()) {
      if (!isUsable(report.runner())) {
        continue;
      }
      for (ReplicaStatus status : report.replicas()) {
        if (status.model().equals(model) && status.phase() == ReplicaPhase.READY) {
          ready.add(new ReadyReplica(report.runner(), status));
        }
      }
    }
    return ready;
  }
}
