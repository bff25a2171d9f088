package dev.wisteriarail.core.membership;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.PeerMessage;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Which nodes exist and which of them live, from the VM list and from heartbeats.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class Membership {

  private final NodeSettings settings;
  private final Map<NodeId, VmEntry> listed = new TreeMap<>();
  private final Map<NodeId, Instant> lastHeard = new TreeMap<>();
  private final Map<NodeId, Incarnation> incarnations = new TreeMap<>();
  private final Set<NodeId> closed = new TreeSet<>();
  private Optional<Instant> nextHeartbeat = Optional.empty();

  private Membership(NodeSettings settings) {
    this.settings = settings;
  }

  /** Returns the membership of a node that knows nobody yet. */
  public static Membership create(NodeSettings settings) {
    return new Membership(settings);
  }

  // Updates

  /** Takes a reading of the VM list. */
  public void acceptList(List<VmEntry> nodes, Instant now) {
    listed.clear();
    for (VmEntry entry : nodes) {
      listed.put(entry.node(), entry);
      lastHeard.putIfAbsent(entry.node(), now);
    }
  }

  /**
   * Notes a message from a peer.
   *
   * @return whether the message is of the newest incarnation known
   */
  public boolean acceptMessage(NodeId from, Incarnation incarnation, Step step) {
    Incarnation known = incarnations.getOrDefault(from, Incarnation.NONE);
    if (incarnation.compareTo(known) < 0) {
      return false;
    }
    if (incarnation.compareTo(known) > 0) {
      incarnations.put(from, incarnation);
      closed.remove(from);
      step.log(EventCode.PEER_SEEN, "peer", from, "incarnation", incarnation);
    }
    lastHeard.put(from, step.now());
    return true;
  }

  /** Notes that a peer said that it has stopped. */
  public void markClosed(NodeId node) {
    closed.add(node);
  }

  /** Sends heartbeats where they are due. */
  public void advance(Step step, PeerMessage.Heartbeat heartbeat) {
    if (nextHeartbeat.isPresent() && step.now().isBefore(nextHeartbeat.get())) {
      return;
    }
    nextHeartbeat = Optional.of(step.now().plus(settings.timings().heartbeat()));
    for (NodeId peer : peers()) {
      step.emit(new Effect.SendPeer(peer, heartbeat));
    }
  }

  // Accessors

  /** Returns the listed nodes without this one. */
  public List<NodeId> peers() {
    return listed.keySet().stream().filter(node -> !node.equals(settings.node())).toList();
  }

  /** Returns whether a node is this one, or listed or heard and not silent for too long. */
  public boolean isLive(NodeId node, Instant now) {
    if (node.equals(settings.node())) {
      return true;
    }
    Instant heard = lastHeard.get(node);
    return heard != null
        && !closed.contains(node)
        && now.isBefore(heard.plus(settings.timings().suspectAfter()));
  }

  /** Returns whether one run of a node is known to have ended for good. */
  public boolean isClosed(NodeId node, Incarnation incarnation) {
    if (node.equals(settings.node())) {
      return incarnation.compareTo(settings.incarnation()) < 0;
    }
    Incarnation known = incarnations.getOrDefault(node, Incarnation.NONE);
    return incarnation.compareTo(known) < 0 || (incarnation.equals(known) && closed.contains(node));
  }

  /** Returns this node's rank among the live ones, 0 for the first by name. */
  public int rank(Instant now) {
    return (int)
        peers().stream()
            .filter(peer -> peer.compareTo(settings.node()) < 0)
            .filter(peer -> isLive(peer, now))
            .count();
  }

  /** Returns when the next heartbeat is due. */
  public Optional<Instant> nextWakeUp() {
    return nextHeartbeat;
  }
}
