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
 */
public record NodeAddress(
    NodeId node, Incarnation incarnation, String host, int port, int linkMbps) {

  /** The order in which nodes are asked to serve others: the fastest link first, then by name. */
  public static final Comparator<NodeAddress> BY_RANK =
      Comparator.comparingInt(NodeAddress::linkMbps).reversed().thenComparing(NodeAddress::node);

  /** Returns whether this node is asked before another one. */
  public boolean ranksBefore(NodeAddress other) {
    return BY_RANK.compare(this, other) < 0;
  }
}
