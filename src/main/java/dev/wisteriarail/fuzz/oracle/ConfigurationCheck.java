package dev.wisteriarail.fuzz.oracle;

import dev.wisteriarail.core.id.NodeId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/** Checks that an accepted configuration is in force on all nodes in time and never reverts. */
final class ConfigurationCheck implements Check {

  /** Time from the acceptance of a change until it is in force on every node that is reachable. */
  private static final Duration LIMIT = Duration.ofSeconds(10);

  private record Accepted(Instant at, long revision) {}

  private static final class Node {
    private Instant reachableSince;
    private long revision;
    private long reported;

    private Node(Instant reachableSince) {
      this.reachableSince = reachableSince;
    }
  }

  private final AcceptedChanges changes = new AcceptedChanges();
  private final Deque<Accepted> accepted = new ArrayDeque<>();
  private final Map<Long, String> contents = new TreeMap<>();
  private final Map<NodeId, Node> nodes = new TreeMap<>();
  private final Map<NodeId, Boolean> logDown = new TreeMap<>();
  private long due;

  @Override
  public String name() {
    return "configuration";
  }

  @Override
  public void observe(Instant at, Observation observation, ViolationReporter reporter) {
    switch (observation) {
      case Observation.RecordAppended appended -> {
        changes.accept(appended.logged());
        accepted.addLast(new Accepted(at, changes.newest()));
      }
      case Observation.NodeStarted started -> nodes.put(started.node(), new Node(at));
      case Observation.NodeStopped stopped -> nodes.remove(stopped.node());
      case Observation.NodePaused paused -> unreachableUntil(paused.node(), paused.until());
      case Observation.LogAccess access -> {
        logDown.put(access.node(), !access.available());
        unreachableUntil(access.node(), at);
      }
      case Observation.NodeStatus status -> acceptStatus(at, status, reporter);
      default -> {}
    }
  }

  private void unreachableUntil(NodeId id, Instant until) {
    Node node = nodes.get(id);
    if (node != null && until.isAfter(node.reachableSince)) {
      node.reachableSince = until;
    }
  }

  private void acceptStatus(Instant at, Observation.NodeStatus status, ViolationReporter reporter) {
    Node node = nodes.get(status.node());
    if (node == null) {
      return;
    }
    if (status.revision() < node.revision) {
      reporter.report(
          status.node() + " reverted from " + node.revision + " to " + status.revision());
    }
    node.revision = status.revision();
    if (status.revision() > changes.newest()) {
      reporter.report(status.node() + " shows " + status.revision() + ", never accepted");
    }
    String content = contents.putIfAbsent(status.revision(), status.content());
    if (content != null && !content.equals(status.content())) {
      reporter.report(status.node() + " shows another content at " + status.revision());
    }
    checkInForce(at, status, node, reporter);
  }

  private void checkInForce(
      Instant at, Observation.NodeStatus status, Node node, ViolationReporter reporter) {
    while (!accepted.isEmpty() && !accepted.peekFirst().at().plus(LIMIT).isAfter(at)) {
      due = Math.max(due, accepted.removeFirst().revision());
    }
    boolean reachable =
        !logDown.getOrDefault(status.node(), false) && !node.reachableSince.plus(LIMIT).isAfter(at);
    if (reachable && status.revision() < due && node.reported < due) {
      node.reported = due;
      reporter.report(
          status.node() + " shows " + status.revision() + " when " + due + " must be in force");
    }
  }
}
