package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import java.util.Comparator;

/**
 * Address at which a node listens for its peers.
 *
 * @param node the node
 * @param incarnation its latest known incarnation
 * @param host its IP address
 * @param port its port for peers
 * @param linkMbps bandwidth of its VM's link in Mbit/s; 0 if unknown
 * @param milliCores processor capacity of its VM, in thousandths of a core; 0 if unknown
 */
public record NodeAddress(
    NodeId node, Incarnation incarnation, String host, int port, int linkMbps, int milliCores) {

  /** Longest host name, in characters. */
  private static final int MAX_HOST_LENGTH = 255;

  static final int MAX_PORT = 65_535;

  /** Ranking of nodes for shared tasks: the fastest link first, then by name. */
  public static final Comparator<NodeAddress> BY_RANK =
      Comparator.comparingInt(NodeAddress::linkMbps).reversed().thenComparing(NodeAddress::node);

  /**
   * The same ranking with a hash instead of the names, for cases that must not follow name order.
   */
  public static final Comparator<NodeAddress> BY_HASHED_RANK =
      Comparator.comparingInt(NodeAddress::linkMbps)
          .reversed()
          .thenComparingLong(address -> address.node().mixedHash())
          .thenComparing(NodeAddress::node);

  /**
   * Returns the address of a node of which only host and port are known.
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

  /** Returns whether the address is complete and connections can be made to it. */
  public boolean isUsable() {
    return node != null
        && incarnation != null
        && host != null
        && !host.isBlank()
        && host.length() <= MAX_HOST_LENGTH
        && port >= 1
        && port <= MAX_PORT
        && linkMbps >= 0
        && milliCores >= 0;
  }

  /** Returns whether this node ranks before another one. */
  public boolean ranksBefore(NodeAddress other) {
    return BY_RANK.compare(this, other) < 0;
  }
}
