package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.NodeId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Decides which node coordinates: reads the store for all, collects what callers want, and gives
 * orders to runners.
 *
 * <p>It is the node that holds the lease on orders. A node tries for the lease only where no live
 * peer says that it holds one, and where no live peer that reaches the store has a lower name. The
 * lease itself settles who gets it, so two nodes that disagree about their peers do no harm.
 *
 * <p>Stateless.
 */
public final class Coordination {

  /** A holder that the store has not answered for this long makes way for one that it answers. */
  public static final Duration UNREACHABLE_LIMIT = Duration.ofMillis(800);

  private Coordination() {}

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
   * Returns whether a node should try for the lease, or keep it.
   *
   * @param self the node
   * @param own what it says of itself
   * @param holdsLease whether it holds the lease
   * @param settled whether it has listened long enough since its start
   * @param unreachableFor how long the store has not answered it
   * @param live its live peers
   * @param now the time
   */
  public static boolean wantsLease(
      NodeId self,
      PeerStatus own,
      boolean holdsLease,
      boolean settled,
      Duration unreachableFor,
      List<PeerTable.Peer> live,
      Instant now) {
    if (own.draining()) {
      return false;
    }
    boolean othersReach = live.stream().anyMatch(peer -> mayLead(peer));
    if (holdsLease) {
      boolean overtaken = live.stream().anyMatch(peer -> peer.status().fence() > own.fence());
      boolean makesWay = unreachableFor.compareTo(UNREACHABLE_LIMIT) > 0 && othersReach;
      return !overtaken && !makesWay;
    }
    if (!settled || !own.storeReachable()) {
      return false;
    }
    boolean led =
        live.stream().anyMatch(peer -> peer.status().fence() > 0 && peer.status().storeReachable());
    boolean lowest =
        live.stream().noneMatch(peer -> mayLead(peer) && peer.node().compareTo(self) < 0);
    return !led && lowest;
  }

  private static boolean mayLead(PeerTable.Peer peer) {
    return peer.status().storeReachable() && !peer.status().draining();
  }
}
