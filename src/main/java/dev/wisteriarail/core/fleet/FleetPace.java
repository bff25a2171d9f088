package dev.wisteriarail.core.fleet;

import java.util.Collection;

/**
 * How fast nodes send each other what they repeat, so that it stays a small part of what their
 * processors give.
 *
 * <p>The load pattern that it answers: as many messages a second as in a small fleet of large VMs
 * come to more nodes, or to smaller ones. There the messages alone fill a processor, the node falls
 * behind with all of them, and its peers take it for lost.
 *
 * <p>It goes by the smallest VM, as each node has to take what all others send. Immutable.
 *
 * @param peers number of known peers
 * @param smallestMilliCores what the smallest VM's processor gives, in thousandths of a core
 */
record FleetPace(int peers, int smallestMilliCores) {

  /**
   * Peers up to which nodes of {@link #REFERENCE_MILLI_CORES} send heartbeats to all others, at
   * full pace. Among 64 nodes that took 140 messages a second and node.
   */
  private static final int PEERS_AT_FULL_PACE = 20;

  /** Size of the VMs for which that number holds, in thousandths of a core. */
  private static final int REFERENCE_MILLI_CORES = 750;

  /** Heartbeats slow down to this part of their pace at most. */
  static final int MAX_SLOWDOWN = 3;

  /** Returns the pace of a node and its peers; nodes of unknown size are not counted. */
  static FleetPace of(NodeAddress self, Collection<NodeAddress> peers) {
    int smallest = self.milliCores() > 0 ? self.milliCores() : REFERENCE_MILLI_CORES;
    for (NodeAddress peer : peers) {
      if (peer.milliCores() > 0) {
        smallest = Math.min(smallest, peer.milliCores());
      }
    }
    return new FleetPace(peers.size(), smallest);
  }

  /** Returns the peers that each node can exchange everything with. */
  private double maxPeersAtFullPace() {
    return PEERS_AT_FULL_PACE * Math.min(1.0, (double) smallestMilliCores / REFERENCE_MILLI_CORES);
  }

  /** Returns whether there are so many nodes that messages are spared. */
  boolean isLarge() {
    return peers > maxPeersAtFullPace();
  }

  /** Returns by how much messages that are repeated are slowed down. */
  double slowdown() {
    return Math.clamp(peers / maxPeersAtFullPace(), 1, MAX_SLOWDOWN);
  }
}
