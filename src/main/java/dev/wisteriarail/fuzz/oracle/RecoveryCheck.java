package dev.wisteriarail.fuzz.oracle;

import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.request.RequestOutcome;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Checks that the fleet recovers after the last fault without intervention: all requests have
 * outcomes, exactly one controller exists, each node has the newest configuration, every loaded
 * replica belongs to a decision, and all probes are served.
 */
final class RecoveryCheck implements Check {

  private final AcceptedChanges changes = new AcceptedChanges();
  private final Set<RequestId> open = new TreeSet<>();
  private final Set<RequestId> probes = new TreeSet<>();
  private final Map<RequestId, RequestOutcome> outcomes = new TreeMap<>();
  private final Map<NodeId, Observation.NodeStatus> statuses = new TreeMap<>();
  private final Map<ReplicaId, RunnerId> held = new TreeMap<>();
  private final Set<ReplicaId> decided = new TreeSet<>();
  private final Set<ReplicaId> closedReplicas = new TreeSet<>();

  @Override
  public String name() {
    return "recovery";
  }

  @Override
  public void observe(Instant at, Observation observation, ViolationReporter reporter) {
    switch (observation) {
      case Observation.RequestSent sent -> open.add(sent.request());
      case Observation.RequestEnded ended -> {
        open.remove(ended.request());
        outcomes.put(ended.request(), ended.ending());
      }
      case Observation.ConnectionClosed cut -> open.remove(cut.request());
      case Observation.NodeStatus status -> statuses.put(status.node(), status);
      case Observation.NodeStopped stopped -> statuses.remove(stopped.node());
      case Observation.ReplicaHeld replicaHeld ->
          held.put(replicaHeld.replica(), replicaHeld.runner());
      case Observation.ReplicaFreed gone -> held.remove(gone.replica(), gone.runner());
      case Observation.RecordAppended appended -> acceptRecord(appended);
      case Observation.ProbeSent probe -> probes.add(probe.request());
      case Observation.RecoveryOver over -> checkRecovered(reporter);
      case Observation.RunEnded ended -> checkEnd(reporter);
      default -> {}
    }
  }

  private void acceptRecord(Observation.RecordAppended appended) {
    changes.accept(appended.logged());
    switch (appended.logged().body()) {
      case RecordBody.LoadDecided load -> decided.add(load.replica());
      case RecordBody.ReplicaClosed closed -> closedReplicas.add(closed.replica());
      default -> {}
    }
  }

  private void checkRecovered(ViolationReporter reporter) {
    if (!open.isEmpty()) {
      reporter.report("requests without an outcome: " + open);
    }
    checkNodes(reporter);
  }

  private void checkEnd(ViolationReporter reporter) {
    checkNodes(reporter);
    held.forEach(
        (replica, runner) -> {
          if (!decided.contains(replica) || closedReplicas.contains(replica)) {
            reporter.report(runner + " holds " + replica + ", which no decision covers");
          }
        });
    for (RequestId probe : probes) {
      if (!(outcomes.get(probe) instanceof RequestOutcome.Completed)) {
        reporter.report("probe " + probe + " was not served: " + outcomes.get(probe));
      }
    }
  }

  private void checkNodes(ViolationReporter reporter) {
    long controllers =
        statuses.values().stream().filter(Observation.NodeStatus::controller).count();
    if (controllers != 1) {
      reporter.report(controllers + " nodes control the cell");
    }
    for (Observation.NodeStatus status : statuses.values()) {
      if (status.revision() != changes.newest() || !status.ready()) {
        reporter.report("node behind " + changes.newest() + " or not ready: " + status);
      }
    }
  }
}
