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
public final class Closures {

  /** A run and when something was learnt of it. */
  private record Seen(Incarnation incarnation, Instant at) {}

  private final CellTimings bounds;
  private final Map<NodeId, Seen> newest = new TreeMap<>();
  private final Map<NodeId, Seen> stopped = new TreeMap<>();
  private final Map<NodeId, Instant> lastHeard = new TreeMap<>();
  private final Map<NodeId, Instant> absentSince = new TreeMap<>();

  private Closures(CellTimings bounds) {
    this.bounds = bounds;
  }

  /** Returns the closures of a node that has heard nobody. */
  public static Closures create(CellTimings bounds) {
    return new Closures(bounds);
  }

  // Updates

  /** Notes that a node exists or existed; its silence counts from now on if it was never heard. */
  public void noteNode(NodeId node, Instant now) {
    lastHeard.putIfAbsent(node, now);
  }

  /** Notes a message from a run, or that this node is that run itself. */
  public void acceptMessage(NodeId node, Incarnation incarnation, Instant now) {
    Seen known = newest.get(node);
    if (known != null && incarnation.compareTo(known.incarnation()) < 0) {
      return;
    }
    if (known == null || incarnation.compareTo(known.incarnation()) > 0) {
      newest.put(node, new Seen(incarnation, now));
    }
    lastHeard.put(node, now);
    absentSince.remove(node);
  }

  /** Notes that a run said that it has stopped. */
  public void markStopped(NodeId node, Incarnation incarnation, Instant now) {
    Seen known = stopped.get(node);
    if (known == null || known.incarnation().compareTo(incarnation) < 0) {
      stopped.put(node, new Seen(incarnation, now));
    }
  }

  /** Takes a reading of the VM list; an empty one is taken for a fault of the list. */
  public void acceptList(List<VmEntry> nodes, Instant now) {
    if (nodes.isEmpty()) {
      return;
    }
    Set<NodeId> listed = nodes.stream().map(VmEntry::node).collect(Collectors.toSet());
    for (NodeId node : lastHeard.keySet()) {
      if (listed.contains(node)) {
        absentSince.remove(node);
      } else {
        absentSince.putIfAbsent(node, now);
      }
    }
  }

  // Accessors

  /** Returns since when a run is closed; empty while it may still act. */
  public Optional<Instant> closedSince(NodeId node, Incarnation incarnation, Instant now) {
    Seen end = stopped.get(node);
    if (end != null && end.incarnation().compareTo(incarnation) >= 0) {
      return Optional.of(end.at());
    }
    Seen later = newest.get(node);
    if (later != null && later.incarnation().compareTo(incarnation) > 0) {
      return Optional.of(later.at());
    }
    Optional<Instant> byList =
        Optional.ofNullable(absentSince.get(node))
            .map(since -> since.plus(bounds.closeAfterUnlisted()));
    Optional<Instant> bySilence =
        Optional.ofNullable(lastHeard.get(node)).map(heard -> heard.plus(bounds.closeAfter()));
    return byList
        .filter(at -> !now.isBefore(at))
        .or(() -> bySilence.filter(at -> !now.isBefore(at)));
  }

  /** Returns the newest run of a node that was heard. */
  public Optional<Incarnation> newestRun(NodeId node) {
    return Optional.ofNullable(newest.get(node)).map(Seen::incarnation);
  }

  /** Returns whether a run is closed. */
  public boolean isClosed(NodeId node, Incarnation incarnation, Instant now) {
    return closedSince(node, incarnation, now).isPresent();
  }
}
