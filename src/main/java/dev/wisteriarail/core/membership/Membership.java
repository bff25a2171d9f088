package dev.wisteriarail.core.membership;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.PeerMessage;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Membership and failure detection: the nodes that exist, from the VM list, and those of them that
 * are live, from heartbeats.
 *
 * <p>In a small fleet every node sends heartbeats to every other node. In a large fleet a node
 * sends them to its successors in a ring and to one random node. A node that receives no heartbeat
 * from a node that it watches probes it, and then reports its suspicion to all others. A suspected
 * node that receives the report sends a heartbeat to all. The traffic of a node does not grow with
 * the fleet, and a failure is still detected after the same time.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class Membership {

  /** Number of peers up to which every node sends heartbeats to every other node. */
  static final int MAX_MESH_PEERS = 6;

  private static final int WATCHERS_PER_NODE = 2;
  private static final Duration UNLISTED_RETENTION = Duration.ofHours(1);

  private final NodeSettings settings;
  private final Random random;
  private final Map<NodeId, VmEntry> listed = new TreeMap<>();
  private final Map<NodeId, Instant> lastReceived = new TreeMap<>();
  private final Map<NodeId, Instant> watchedSince = new TreeMap<>();
  private final Map<NodeId, Incarnation> incarnations = new TreeMap<>();
  private final Set<NodeId> closed = new TreeSet<>();
  private final Set<NodeId> draining = new TreeSet<>();
  private final Set<NodeId> leaving = new TreeSet<>();
  private final Set<NodeId> suspected = new TreeSet<>();

  /** Peers that get a heartbeat in the next step, outside the regular interval. */
  private final Set<NodeId> immediateHeartbeats = new TreeSet<>();

  private final Set<NodeId> newPeers = new TreeSet<>();
  private Ring ring = Ring.of(List.of());
  private Optional<Instant> nextHeartbeat = Optional.empty();

  private Membership(NodeSettings settings) {
    this.settings = settings;
    random = new Random(settings.seed() ^ settings.node().value().hashCode());
  }

  /** Creates the membership of a node that has no peers yet. */
  public static Membership create(NodeSettings settings) {
    return new Membership(settings);
  }

  // VM list

  /**
   * Processes the VM list. An empty list is ignored if the previous one was not empty, since that
   * indicates a fault of the platform.
   */
  public void acceptVmList(List<VmEntry> nodes, Step step) {
    if (nodes.isEmpty() && !listed.isEmpty()) {
      return;
    }
    Map<NodeId, VmEntry> previous = new TreeMap<>(listed);
    listed.clear();
    nodes.forEach(entry -> listed.put(entry.node(), entry));
    listed.values().forEach(entry -> recordListed(entry, previous.containsKey(entry.node()), step));
    for (NodeId node : previous.keySet()) {
      if (!listed.containsKey(node)) {
        step.log(EventCode.PEER_UNLISTED, "peer", node);
      }
    }
    if (!previous.keySet().equals(listed.keySet())) {
      Set<NodeId> members = new TreeSet<>(listed.keySet());
      members.add(settings.node());
      ring = Ring.of(members);
    }
    removeExpired(step.now());
  }

  private void recordListed(VmEntry entry, boolean alreadyListed, Step step) {
    NodeId node = entry.node();
    if (node.equals(settings.node())) {
      return;
    }
    lastReceived.putIfAbsent(node, step.now());
    if (!alreadyListed) {
      immediateHeartbeats.add(node);
      step.log(EventCode.PEER_LISTED, "peer", node);
    }
    if (entry.leaving() && leaving.add(node)) {
      step.log(EventCode.PEER_LEAVING, "peer", node);
    }
  }

  private void removeExpired(Instant now) {
    List<NodeId> expired =
        lastReceived.keySet().stream()
            .filter(node -> !listed.containsKey(node))
            .filter(node -> lastReceived.get(node).plus(UNLISTED_RETENTION).isBefore(now))
            .toList();
    for (NodeId node : expired) {
      lastReceived.remove(node);
      incarnations.remove(node);
      List.of(closed, draining, leaving, suspected).forEach(set -> set.remove(node));
    }
  }

  // Messages

  /**
   * Records that a message from a peer arrived.
   *
   * @return false if the message comes from an older incarnation than the newest known one
   */
  public boolean acceptMessage(NodeId from, Incarnation incarnation, Step step) {
    Incarnation known = incarnations.getOrDefault(from, Incarnation.NONE);
    if (incarnation.compareTo(known) < 0) {
      return false;
    }
    if (incarnation.compareTo(known) > 0) {
      incarnations.put(from, incarnation);
      List.of(closed, draining, leaving).forEach(set -> set.remove(from));
      newPeers.add(from);
      step.log(EventCode.PEER_SEEN, "peer", from, "incarnation", incarnation);
    }
    lastReceived.put(from, step.now());
    if (suspected.remove(from)) {
      step.log(EventCode.PEER_RECOVERED, "peer", from);
    }
    return true;
  }

  /** Updates a peer's state from its heartbeat. */
  public void acceptHeartbeat(NodeId from, PeerMessage.Heartbeat heartbeat) {
    if (heartbeat.draining()) {
      draining.add(from);
    }
  }

  /** Schedules a heartbeat to a peer that sent a probe. */
  public void acceptProbe(NodeId from) {
    immediateHeartbeats.add(from);
  }

  /**
   * Processes a peer's report of suspected nodes. If this node is one of them, schedules heartbeats
   * to all peers.
   */
  public void acceptSuspicions(PeerMessage.Suspected suspicions, Step step) {
    for (PeerMessage.SuspectedRun run : suspicions.runs()) {
      if (run.node().equals(settings.node())) {
        immediateHeartbeats.addAll(peers());
      } else if (isCredible(run, step.now())) {
        suspect(run.node(), step);
      }
    }
  }

  /**
   * Returns whether a suspicion is accepted: no newer incarnation of the node is known, and this
   * node has not received a message from it recently either.
   */
  private boolean isCredible(PeerMessage.SuspectedRun run, Instant now) {
    Incarnation known = incarnations.getOrDefault(run.node(), Incarnation.NONE);
    boolean neverReceived = known.equals(Incarnation.NONE);
    return run.incarnation().compareTo(known) >= 0 && (neverReceived || isSilent(run.node(), now));
  }

  /** Marks a peer that announced its shutdown as closed. */
  public void markClosed(NodeId node) {
    closed.add(node);
  }

  // Progress

  /** Sends the heartbeats that are due and suspects watched peers that have become silent. */
  public void advance(Step step, PeerMessage.Heartbeat heartbeat) {
    Set<NodeId> targets = new LinkedHashSet<>();
    if (nextHeartbeat.isEmpty() || !step.now().isBefore(nextHeartbeat.get())) {
      nextHeartbeat = Optional.of(step.now().plus(settings.timings().heartbeat()));
      checkWatchedPeers(step);
      probeSuspect(step);
      targets.addAll(heartbeatTargets());
    }
    immediateHeartbeats.stream().filter(listed::containsKey).forEach(targets::add);
    immediateHeartbeats.clear();
    targets.forEach(peer -> step.emit(new Effect.SendPeer(peer, heartbeat)));
    sendSuspicionsToNewPeers(step);
  }

  private List<NodeId> heartbeatTargets() {
    List<NodeId> peers = peers();
    if (peers.size() <= MAX_MESH_PEERS) {
      return peers;
    }
    List<NodeId> targets =
        new ArrayList<>(ring.successors(settings.node(), WATCHERS_PER_NODE, this::isUp));
    targets.add(peers.get(random.nextInt(peers.size())));
    return targets;
  }

  private void checkWatchedPeers(Step step) {
    List<NodeId> watched = watchedPeers();
    watchedSince.keySet().retainAll(watched);
    watched.forEach(node -> watchedSince.putIfAbsent(node, step.now()));
    List<NodeId> newlySilent = new ArrayList<>();
    for (NodeId node : watched) {
      Duration silence = silenceOfWatched(node, step.now());
      if (silence.compareTo(settings.timings().suspectAfter()) >= 0) {
        newlySilent.add(node);
      } else if (silence.multipliedBy(2).compareTo(settings.timings().suspectAfter()) >= 0) {
        step.emit(new Effect.SendPeer(node, new PeerMessage.Probe()));
      }
    }
    newlySilent.forEach(node -> suspect(node, step));
    if (!newlySilent.isEmpty() && isLarge()) {
      PeerMessage.Suspected message = suspicionMessage(newlySilent);
      peers().forEach(peer -> step.emit(new Effect.SendPeer(peer, message)));
    }
  }

  /** Probes one suspected peer, so that it recovers even if its heartbeats to all were lost. */
  private void probeSuspect(Step step) {
    List<NodeId> suspects = listedSuspects();
    if (!suspects.isEmpty()) {
      NodeId node = suspects.get(random.nextInt(suspects.size()));
      step.emit(new Effect.SendPeer(node, new PeerMessage.Probe()));
    }
  }

  private List<NodeId> listedSuspects() {
    return suspected.stream().filter(listed::containsKey).toList();
  }

  private List<NodeId> watchedPeers() {
    return isLarge()
        ? ring.predecessors(settings.node(), WATCHERS_PER_NODE, this::isUp)
        : peers().stream().filter(this::isUp).toList();
  }

  private Duration silenceOfWatched(NodeId node, Instant now) {
    Instant received = lastReceived.getOrDefault(node, now);
    Instant watchedFrom = watchedSince.getOrDefault(node, now);
    return Duration.between(received.isAfter(watchedFrom) ? received : watchedFrom, now);
  }

  private void suspect(NodeId node, Step step) {
    if (suspected.add(node)) {
      step.log(EventCode.PEER_SUSPECTED, "peer", node);
    }
  }

  /** Sends this node's suspicions to peers whose incarnation was seen for the first time. */
  private void sendSuspicionsToNewPeers(Step step) {
    List<NodeId> suspects = listedSuspects();
    if (isLarge() && !suspects.isEmpty()) {
      PeerMessage.Suspected message = suspicionMessage(suspects);
      newPeers.forEach(peer -> step.emit(new Effect.SendPeer(peer, message)));
    }
    newPeers.clear();
  }

  private PeerMessage.Suspected suspicionMessage(List<NodeId> nodes) {
    return new PeerMessage.Suspected(
        nodes.stream()
            .map(
                node ->
                    new PeerMessage.SuspectedRun(
                        node, incarnations.getOrDefault(node, Incarnation.NONE)))
            .toList());
  }

  // Accessors

  /** Returns all nodes on the VM list except this one. */
  public List<NodeId> peers() {
    return listed.keySet().stream().filter(node -> !node.equals(settings.node())).toList();
  }

  /**
   * Returns whether a node is live: it is this node, or a known node that is neither closed nor
   * suspected. In a small fleet it must also have sent a message recently.
   */
  public boolean isLive(NodeId node, Instant now) {
    if (node.equals(settings.node())) {
      return true;
    }
    return lastReceived.containsKey(node) && isUp(node) && (isLarge() || !isSilent(node, now));
  }

  /** Returns whether a node is leaving, according to its own heartbeats or to the VM list. */
  public boolean isLeaving(NodeId node) {
    VmEntry entry = listed.get(node);
    boolean listedAsLeaving = entry != null && entry.leaving();
    return listedAsLeaving || leaving.contains(node) || draining.contains(node);
  }

  /**
   * Returns this node's rank by name, from 0, among the live nodes. A leaving node ranks after all
   * nodes that are not leaving.
   */
  public int rank(Instant now) {
    boolean selfLeaves = isLeaving(settings.node());
    return (int)
        peers().stream()
            .filter(peer -> selfLeaves || peer.compareTo(settings.node()) < 0)
            .filter(peer -> !isLeaving(peer))
            .filter(peer -> isLive(peer, now))
            .count();
  }

  /** Returns the newest incarnation from which a message of a peer was received. */
  public Optional<Incarnation> incarnation(NodeId node) {
    return Optional.ofNullable(incarnations.get(node));
  }

  /** Returns the state of each listed peer. */
  public List<PeerView> peerViews(Instant now) {
    return peers().stream()
        .map(peer -> new PeerView(peer, incarnation(peer), isLive(peer, now), isLeaving(peer)))
        .toList();
  }

  /** Returns when the next heartbeat is due. */
  public Optional<Instant> nextWakeUp() {
    return nextHeartbeat;
  }

  private boolean isLarge() {
    return listed.size() > MAX_MESH_PEERS + 1;
  }

  private boolean isUp(NodeId node) {
    return !closed.contains(node) && !suspected.contains(node);
  }

  private boolean isSilent(NodeId node, Instant now) {
    Instant received = lastReceived.get(node);
    return received == null || !now.isBefore(received.plus(settings.timings().suspectAfter()));
  }
}
