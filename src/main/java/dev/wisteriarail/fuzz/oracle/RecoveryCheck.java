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
 * After the last fault the fleet recovers by itself: requests have ended, a controller exists, each
 * node is at the newest configuration, no memory is held by nothing, and all probes are served.
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
  public void observe(Instant at, Observation observation, ViolationReporter complaints) {
    switch (observation) {
      case Observation.RequestSent sent -> open.add(sent.request());
      case Observation.RequestEnded ended -> {
        open.remove(ended.request());
        outcomes.put(ended.request(), ended.ending());
      }
      case Observation.ConnectionClosed cut -> open.remove(cut.request());
      case Observation.NodeStatus status -> statuses.put(status.node(), status);
      case Observation.NodeStopped stopped -> statuses.remove(stopped.node());
      case Observation.ReplicaHeld taken -> held.put(taken.replica(), taken.runner());
      case Observation.ReplicaFreed gone -> held.remove(gone.replica(), gone.runner());
      case Observation.RecordAppended appended -> acceptRecord(appended);
      case Observation.ProbeSent probe -> probes.add(probe.request());
      case Observation.RecoveryOver over -> checkRecovered(complaints);
      case Observation.RunEnded ended -> checkEnd(complaints);
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

  private void checkRecovered(ViolationReporter complaints) {
    if (!open.isEmpty()) {
      complaints.report("requests without an ending: " + open);
    }
    checkNodes(complaints);
  }

  private void checkEnd(ViolationReporter complaints) {
    checkNodes(complaints);
    held.forEach(
        (replica, runner) -> {
          if (!decided.contains(replica) || closedReplicas.contains(replica)) {
            complaints.report(runner + " holds " + replica + ", which no decision holds");
          }
        });
    for (RequestId probe : probes) {
      if (!(outcomes.get(probe) instanceof RequestOutcome.Completed)) {
        complaints.report("probe " + probe + " was not served: " + outcomes.get(probe));
      }
    }
  }

  private void checkNodes(ViolationReporter complaints) {
    long controllers =
        statuses.values().stream().filter(Observation.NodeStatus::controller).count();
    if (controllers != 1) {
      complaints.report(controllers + " nodes control the cell");
    }
    for (Observation.NodeStatus status : statuses.values()) {
      if (status.revision() != changes.newest() || !status.ready()) {
        complaints.report("node behind " + changes.newest() + " or not ready: " + status);
      }
    }
  }
}
