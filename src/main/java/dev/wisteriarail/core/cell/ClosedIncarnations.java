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
 * Tracks which incarnations of nodes are closed, that is, no longer send orders or dispatches.
 *
 * <p>An incarnation is closed if it announced that it has stopped, or if a message from a later
 * incarnation of the same node was received. Otherwise it counts as closed once the VM list has
 * lacked its node for {@link CellTimings#closeAfterUnlisted} without a message from it, or after
 * {@link CellTimings#closeAfter} without a message. A short silence proves nothing: a paused
 * process may continue where it stopped.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class ClosedIncarnations {

  /**
   * An incarnation of a node and when it was observed.
   *
   * @param observedAt time of its first message, or of the notice that it has stopped
   */
  private record ObservedIncarnation(Incarnation incarnation, Instant observedAt) {}

  private final CellTimings timings;
  private final Map<NodeId, ObservedIncarnation> latest = new TreeMap<>();
  private final Map<NodeId, ObservedIncarnation> stopped = new TreeMap<>();
  private final Map<NodeId, Instant> lastMessageAt = new TreeMap<>();
  private final Map<NodeId, Instant> unlistedSince = new TreeMap<>();

  private ClosedIncarnations(CellTimings timings) {
    this.timings = timings;
  }

  /** Returns an instance that has not received any message. */
  public static ClosedIncarnations create(CellTimings timings) {
    return new ClosedIncarnations(timings);
  }

  // Updates

  /** Adds a node; its silence counts from now if no message from it was received. */
  public void addNode(NodeId node, Instant now) {
    lastMessageAt.putIfAbsent(node, now);
  }

  /** Records a message from an incarnation, or that this node is itself that incarnation. */
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

  /** Records that an incarnation announced that it has stopped. */
  public void markStopped(NodeId node, Incarnation incarnation, Instant now) {
    ObservedIncarnation previous = stopped.get(node);
    if (previous == null || previous.incarnation().compareTo(incarnation) < 0) {
      stopped.put(node, new ObservedIncarnation(incarnation, now));
    }
  }

  /** Processes a reading of the VM list; ignores an empty one as a fault of the list. */
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

  /** Returns since when an incarnation is closed; empty while it may still act. */
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

  /** Returns the latest incarnation of a node from which a message was received. */
  public Optional<Incarnation> latestIncarnation(NodeId node) {
    return Optional.ofNullable(latest.get(node)).map(ObservedIncarnation::incarnation);
  }

  /** Returns whether an incarnation is closed. */
  public boolean isClosed(NodeId node, Incarnation incarnation, Instant now) {
    return closedSince(node, incarnation, now).isPresent();
  }
}
