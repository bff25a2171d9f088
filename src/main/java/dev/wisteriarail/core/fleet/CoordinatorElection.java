package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides which node coordinates, that is, aggregates the demand of all nodes and sends orders to
 * runners, and which node reads the store on behalf of all nodes.
 *
 * <p>The coordinator is the node that holds the order lease. A node claims the lease only if no
 * live peer reports that it holds it and no live peer that can reach the store ranks before it. The
 * lease itself decides between concurrent claims, so nodes that disagree about their peers do no
 * harm.
 *
 * <p>While a node is shutting down, others are likely to be stopped next, in the order of their
 * names or in any other order. Nodes that have been restarted already then rank first, and the
 * others rank by a hash of their names. This ranking applies only while a node drains, so a node
 * that crashes repeatedly gains nothing by it.
 *
 * <p>Stateless.
 */
public final class CoordinatorElection {

  /**
   * Difference between the start times of two nodes from which the later one counts as restarted.
   * Nodes that start together differ by less, even if their clocks are seconds apart.
   */
  static final long RESTART_THRESHOLD_MILLIS = 6_000;

  /** How many times as fast a link has to be for its node to take over the lease. */
  private static final int FASTER_LINK = 2;

  private CoordinatorElection() {}

  /** Returns the node that coordinates, as far as this node knows. */
  public static Optional<NodeId> coordinator(
      NodeId self, long ownFence, List<PeerTable.Peer> live) {
    NodeId best = ownFence > 0 ? self : null;
    long highest = ownFence;
    for (PeerTable.Peer peer : live) {
      if (peer.status().fence() > highest) {
        highest = peer.status().fence();
        best = peer.node();
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the node that reads the store on behalf of all nodes: the coordinator or, while the
   * coordinator cannot reach the store, the first node by rank that can.
   */
  public static Optional<NodeId> relay(
      NodeAddress self, PeerStatus own, List<PeerTable.Peer> live) {
    Optional<NodeId> coordinator = coordinator(self.node(), own.fence(), live);
    boolean coordinatorReachesStore =
        coordinator.filter(self.node()::equals).isPresent()
            ? own.storeReachable()
            : live.stream()
                .filter(peer -> coordinator.filter(peer.node()::equals).isPresent())
                .anyMatch(peer -> peer.status().storeReachable());
    if (coordinator.isEmpty() || coordinatorReachesStore) {
      return coordinator;
    }
    NodeAddress first = mayRelay(own) ? self : null;
    for (PeerTable.Peer peer : live) {
      boolean earlier = first == null || peer.address().ranksBefore(first);
      if (mayRelay(peer.status()) && earlier) {
        first = peer.address();
      }
    }
    return Optional.ofNullable(first).map(NodeAddress::node);
  }

  /**
   * Returns whether a node should claim the lease or keep it.
   *
   * <p>Where runners check fencing numbers, a holder that has lost only the connection to the store
   * keeps the lease: its peers still receive its heartbeats, and no other node claims meanwhile.
   *
   * @param self the node
   * @param own the status that the node publishes
   * @param holdsLease whether the node holds the lease
   * @param expired whether its lease has expired and fencing numbers do not protect its orders
   * @param live its live peers
   * @param knowsAllNodes whether {@code live} covers all nodes, and not only the hubs of a large
   *     fleet
   */
  public static boolean shouldHoldLease(
      NodeAddress self,
      PeerStatus own,
      boolean holdsLease,
      boolean expired,
      List<PeerTable.Peer> live,
      boolean knowsAllNodes) {
    if (own.draining()) {
      return false;
    }
    if (holdsLease) {
      boolean superseded = live.stream().anyMatch(peer -> peer.status().fence() > own.fence());
      boolean othersReachStore = live.stream().anyMatch(peer -> mayRelay(peer.status()));
      return !superseded && !(expired && othersReachStore);
    }
    if (!mayClaim(own)) {
      return false;
    }
    boolean hasHolder = live.stream().anyMatch(peer -> peer.status().fence() > 0);
    boolean stopping = live.stream().anyMatch(peer -> peer.status().draining());
    Comparator<NodeAddress> ranking =
        knowsAllNodes && stopping ? rankDuringRestarts(self, live) : NodeAddress.BY_RANK;
    boolean first =
        live.stream()
            .noneMatch(
                peer -> mayClaim(peer.status()) && ranking.compare(peer.address(), self) < 0);
    return !hasHolder && first;
  }

  /**
   * Returns whether a holder that has just started gives the lease to another node: one with a much
   * faster link, which had not been heard of when the holder claimed. The coordinator sends most of
   * what the nodes exchange.
   */
  public static boolean isOutranked(NodeAddress self, List<PeerTable.Peer> live) {
    return live.stream()
        .filter(peer -> mayClaim(peer.status()))
        .anyMatch(peer -> peer.address().linkMbps() >= FASTER_LINK * (long) self.linkMbps());
  }

  private static Comparator<NodeAddress> rankDuringRestarts(
      NodeAddress self, List<PeerTable.Peer> live) {
    long oldest =
        live.stream()
            .map(peer -> peer.address().incarnation())
            .mapToLong(Incarnation::value)
            .reduce(self.incarnation().value(), Math::min);
    return Comparator.comparing(
            (NodeAddress address) ->
                address.incarnation().value() - oldest < RESTART_THRESHOLD_MILLIS)
        .thenComparing(NodeAddress.BY_HASHED_RANK);
  }

  private static boolean mayClaim(PeerStatus status) {
    return mayRelay(status) && status.settled();
  }

  private static boolean mayRelay(PeerStatus status) {
    return status.storeReachable() && !status.draining();
  }
}
