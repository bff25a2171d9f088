package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import java.util.Comparator;

/**
 * Where a node listens for its peers.
 *
 * @param node the node
 * @param incarnation its newest known run
 * @param host its IP number
 * @param port its port for peers
 * @param linkMbps bandwidth of its VM's link in Mbit/s; 0 if unknown
 * @param milliCores what its VM's processor gives it, in thousandths of a core; 0 if unknown
 */
public record NodeAddress(
    NodeId node, Incarnation incarnation, String host, int port, int linkMbps, int milliCores) {

  /** The order in which nodes are asked to serve others: the fastest link first, then by name. */
  public static final Comparator<NodeAddress> BY_RANK =
      Comparator.comparingInt(NodeAddress::linkMbps).reversed().thenComparing(NodeAddress::node);

  /** The same with a hash in place of the names, for what must not follow their order. */
  public static final Comparator<NodeAddress> BY_HASHED_RANK =
      Comparator.comparingInt(NodeAddress::linkMbps)
          .reversed()
          .thenComparingLong(address -> address.node().mixedHash())
          .thenComparing(NodeAddress::node);

  /**
   * Returns where a node may listen that is known by its address only.
   *
   * @param seed host and port, joined by a colon
   */
  public static NodeAddress ofSeed(String seed) {
    int colon = seed.lastIndexOf(':');
    return new NodeAddress(
        NodeId.of("seed-" + seed),
        Incarnation.NONE,
        seed.substring(0, colon),
        Integer.parseInt(seed.substring(colon + 1)),
        0,
        0);
  }

  /** Returns whether this node is asked before another one. */
  public boolean ranksBefore(NodeAddress other) {
    return BY_RANK.compare(this, other) < 0;
  }
}
