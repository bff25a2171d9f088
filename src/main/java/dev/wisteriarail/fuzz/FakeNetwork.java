package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.peer.PeerMessage;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** The network between nodes and to runners, with delays, losses, duplicates and cuts. */
final class FakeNetwork {

  private final World world;
  private final SeededRandom random;
  private final BiConsumer<NodeId, Event> receiver;
  private final Map<String, Instant> cutUntil = new TreeMap<>();

  /**
   * Creates a network without cuts.
   *
   * @param receiver receives a message for the process at a node's address at its arrival
   */
  FakeNetwork(World world, BiConsumer<NodeId, Event> receiver) {
    this.world = world;
    this.receiver = receiver;
    random = world.random("network");
  }

  /** Delivers a message between nodes, unless it is lost. */
  void send(NodeId from, Incarnation incarnation, NodeId to, PeerMessage message) {
    Event event = new Event.PeerReceived(from, incarnation, message);
    if (isCut(link(from, to)) || world.injectsFault(random, FaultKind.PEER_DROPPED, 0.01)) {
      return;
    }
    if (world.injectsFault(random, FaultKind.PEER_REPEATED, 0.01)) {
      world.after(random.nextDuration(1, 3_000), () -> receiver.accept(to, event));
    }
    boolean late = world.injectsFault(random, FaultKind.PEER_DELAYED, 0.01);
    Duration delay = late ? random.nextDuration(50, 5_000) : random.nextDuration(0.5, 2);
    world.after(delay, () -> receiver.accept(to, event));
  }

  void cutNodes(NodeId from, NodeId to, Instant until) {
    cutUntil.merge(link(from, to), until, (left, right) -> left.isAfter(right) ? left : right);
  }

  void cutRunner(NodeId node, RunnerId runner, Instant until) {
    cutUntil.put(link(node, runner), until);
  }

  boolean reaches(NodeId node, RunnerId runner) {
    return !isCut(link(node, runner));
  }

  void heal() {
    cutUntil.clear();
  }

  private boolean isCut(String link) {
    return world.now().isBefore(cutUntil.getOrDefault(link, Instant.MIN));
  }

  private static String link(NodeId from, Object to) {
    return from + ">" + to;
  }
}
