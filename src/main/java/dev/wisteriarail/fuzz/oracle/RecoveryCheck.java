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
  private final Map<RequestId, RequestOutcome> endings = new TreeMap<>();
  private final Map<NodeId, Observation.NodeStatus> statuses = new TreeMap<>();
  private final Map<ReplicaId, RunnerId> held = new TreeMap<>();
  private final Set<ReplicaId> decided = new TreeSet<>();
  private final Set<ReplicaId> freed = new TreeSet<>();

  @Override
  public String name() {
    return "recovery";
  }

  @Override
  public void observe(Instant at, Observation observation, Complaints complaints) {
    switch (observation) {
      case Observation.RequestSent sent -> open.add(sent.request());
      case Observation.RequestEnded ended -> {
        open.remove(ended.request());
        endings.put(ended.request(), ended.ending());
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
      case RecordBody.ReplicaClosed closed -> freed.add(closed.replica());
      default -> {}
    }
  }

  private void checkRecovered(Complaints complaints) {
    if (!open.isEmpty()) {
      complaints.add("requests without an ending: " + open);
    }
    checkNodes(complaints);
  }

  private void checkEnd(Complaints complaints) {
    checkNodes(complaints);
    held.forEach(
        (replica, runner) -> {
          if (!decided.contains(replica) || freed.contains(replica)) {
            complaints.add(runner + " holds " + replica + ", which no decision holds");
          }
        });
    for (RequestId probe : probes) {
      if (!(endings.get(probe) instanceof RequestOutcome.Completed)) {
        complaints.add("probe " + probe + " was not served: " + endings.get(probe));
      }
    }
  }

  private void checkNodes(Complaints complaints) {
    long controllers =
        statuses.values().stream().filter(Observation.NodeStatus::controller).count();
    if (controllers != 1) {
      complaints.add(controllers + " nodes control the cell");
    }
    for (Observation.NodeStatus status : statuses.values()) {
      if (status.revision() != changes.newest() || !status.ready()) {
        complaints.add("node behind " + changes.newest() + " or not ready: " + status);
      }
    }
  }
}
