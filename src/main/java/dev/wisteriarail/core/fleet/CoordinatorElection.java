package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides which node coordinates, that is, collects what callers want and gives orders to runners,
 * and which node reads the store for all.
 *
 * <p>It is the node that holds the lease on orders. A node tries for the lease only where no live
 * peer says that it holds one, and where no live peer that reaches the store ranks before it. The
 * lease itself settles who gets it, so two nodes that disagree about their peers do no harm.
 *
 * <p>While a node stops, others are likely to be stopped next, in the order of their names or
 * another. Those that were restarted already then rank first, and the others by a hash of their
 * names. A node that crashes again and again gains nothing by it.
 *
 * <p>Stateless.
 */
public final class CoordinatorElection {

  /**
   * Difference between the starts of two nodes from which the later one counts as restarted. Nodes
   * that start together differ by less, also with clocks that are seconds apart.
   */
  static final long RESTART_THRESHOLD_MILLIS = 6_000;

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
   * Returns the node that reads the store for all: the coordinator, or the first node that the
   * store answers while it does not answer the coordinator.
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
   * Returns whether a node should try for the lease, or keep it.
   *
   * <p>A holder that only the store does not answer keeps it where runners check fencing numbers:
   * its peers still hear it, and no other node claims meanwhile.
   *
   * @param self the node
   * @param own what it says of itself
   * @param holdsLease whether it holds the lease
   * @param expired whether its lease has run out and fencing numbers do not protect its orders
   * @param live its live peers
   * @param knowsAllNodes whether those are all nodes, not the hubs of a large fleet only
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
    Comparator<NodeAddress> rank =
        knowsAllNodes && stopping ? rankDuringRestarts(self, live) : NodeAddress.BY_RANK;
    boolean first =
        live.stream()
            .noneMatch(peer -> mayClaim(peer.status()) && rank.compare(peer.address(), self) < 0);
    return !hasHolder && first;
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
