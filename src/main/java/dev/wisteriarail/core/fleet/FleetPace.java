package dev.wisteriarail.core.fleet;

import java.util.Collection;

/**
 * The rate at which nodes send periodic messages, limited so that handling them takes a small share
 * of the processors.
 *
 * <p>It is designed for fleets of many nodes or of small VMs. With the message rate of a small
 * fleet of large VMs, the messages alone would saturate a processor there, the node would fall
 * behind, and its peers would consider it failed.
 *
 * <p>The smallest VM determines the pace, because each node has to handle the messages of all
 * others. Immutable.
 *
 * @param peers number of known peers
 * @param smallestMilliCores processor capacity of the smallest VM, in thousandths of a core
 */
record FleetPace(int peers, int smallestMilliCores) {

  /**
   * Number of peers up to which nodes of {@link #REFERENCE_MILLI_CORES} send heartbeats to all
   * others at full pace. In a fleet of 64 nodes this took 140 messages per second and node.
   */
  private static final int PEERS_AT_FULL_PACE = 20;

  /** Processor capacity of the VMs for which that number holds, in thousandths of a core. */
  private static final int REFERENCE_MILLI_CORES = 750;

  /** Largest factor by which the heartbeat interval is extended. */
  static final int MAX_SLOWDOWN = 3;

  /** Returns the pace of a node and its peers. Nodes of unknown capacity are ignored. */
  static FleetPace of(NodeAddress self, Collection<NodeAddress> peers) {
    int smallest = self.milliCores() > 0 ? self.milliCores() : REFERENCE_MILLI_CORES;
    for (NodeAddress peer : peers) {
      if (peer.milliCores() > 0) {
        smallest = Math.min(smallest, peer.milliCores());
      }
    }
    return new FleetPace(peers.size(), smallest);
  }

  /** Returns the number of peers up to which all nodes exchange messages at full pace. */
  private double maxPeersAtFullPace() {
    return PEERS_AT_FULL_PACE * Math.min(1.0, (double) smallestMilliCores / REFERENCE_MILLI_CORES);
  }

  /** Returns whether the fleet is so large that nodes send fewer messages. */
  boolean isLarge() {
    return peers > maxPeersAtFullPace();
  }

  /** Returns the factor by which the intervals of periodic messages are extended. */
  double slowdown() {
    return Math.clamp(peers / maxPeersAtFullPace(), 1, MAX_SLOWDOWN);
  }
}
