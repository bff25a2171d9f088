package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.CellTimings;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.membership.VmEntry;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Which runs of nodes are closed: they send no order and no dispatch any more.
 *
 * <p>A run is closed if it said that it has stopped, or if a later run of the same node was heard.
 * Failing these, it counts as closed once the VM list has lacked it for long without a message from
 * it, or after a long silence. Silence alone for a short time proves nothing: a paused process may
 * go on where it stopped.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class ClosedIncarnations {

  /** A run and when something was learnt of it. */
  private record ObservedIncarnation(Incarnation incarnation, Instant observedAt) {}

  private final CellTimings timings;
  private final Map<NodeId, ObservedIncarnation> latest = new TreeMap<>();
  private final Map<NodeId, ObservedIncarnation> stopped = new TreeMap<>();
  private final Map<NodeId, Instant> lastMessageAt = new TreeMap<>();
  private final Map<NodeId, Instant> unlistedSince = new TreeMap<>();

  private ClosedIncarnations(CellTimings timings) {
    this.timings = timings;
  }

  /** Returns the closures of a node that has heard nobody. */
  public static ClosedIncarnations create(CellTimings timings) {
    return new ClosedIncarnations(timings);
  }

  // Updates

  /** Notes that a node exists or existed; its silence counts from now on if it was never heard. */
  public void addNode(NodeId node, Instant now) {
    lastMessageAt.putIfAbsent(node, now);
  }

  /** Notes a message from a run, or that this node is that run itself. */
  public void recordMessage(NodeId node, Incarnation incarnation, Instant now) {
    ObservedIncarnation previous = latest.get(node);
    if (previous != null && incarnation.compareTo(previous.incarnation()) < 0) {
      return;
    }
    if (previous == null || incarnation.compareTo(previous.incarnation()) > 0) {
      latest.put(node, new ObservedIncarnation(incarnation, now));
    }
    lastMessageAt.put(node, now);
    unlistedSince.remove(node);
  }

  /** Notes that a run said that it has stopped. */
  public void markStopped(NodeId node, Incarnation incarnation, Instant now) {
    ObservedIncarnation previous = stopped.get(node);
    if (previous == null || previous.incarnation().compareTo(incarnation) < 0) {
      stopped.put(node, new ObservedIncarnation(incarnation, now));
    }
  }

  /** Takes a reading of the VM list; an empty one is taken for a fault of the list. */
  public void updateVmList(List<VmEntry> entries, Instant now) {
    if (entries.isEmpty()) {
      return;
    }
    Set<NodeId> listed = entries.stream().map(VmEntry::node).collect(Collectors.toSet());
    for (NodeId node : lastMessageAt.keySet()) {
      if (listed.contains(node)) {
        unlistedSince.remove(node);
      } else {
        unlistedSince.putIfAbsent(node, now);
      }
    }
  }

  // Accessors

  /** Returns since when a run is closed; empty while it may still act. */
  public Optional<Instant> closedSince(NodeId node, Incarnation incarnation, Instant now) {
    ObservedIncarnation stop = stopped.get(node);
    if (stop != null && stop.incarnation().compareTo(incarnation) >= 0) {
      return Optional.of(stop.observedAt());
    }
    ObservedIncarnation newer = latest.get(node);
    if (newer != null && newer.incarnation().compareTo(incarnation) > 0) {
      return Optional.of(newer.observedAt());
    }
    Optional<Instant> byList =
        Optional.ofNullable(unlistedSince.get(node))
            .map(since -> since.plus(timings.closeAfterUnlisted()));
    Optional<Instant> bySilence =
        Optional.ofNullable(lastMessageAt.get(node))
            .map(lastMessage -> lastMessage.plus(timings.closeAfter()));
    return byList
        .filter(at -> !now.isBefore(at))
        .or(() -> bySilence.filter(at -> !now.isBefore(at)));
  }

  /** Returns the newest run of a node that was heard. */
  public Optional<Incarnation> latestIncarnation(NodeId node) {
    return Optional.ofNullable(latest.get(node)).map(ObservedIncarnation::incarnation);
  }

  /** Returns whether a run is closed. */
  public boolean isClosed(NodeId node, Incarnation incarnation, Instant now) {
    return closedSince(node, incarnation, now).isPresent();
  }
}
