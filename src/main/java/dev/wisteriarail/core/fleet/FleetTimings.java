package dev.wisteriarail.core.fleet;

import java.time.Duration;

/**
 * Intervals and timeouts of the coordination between nodes.
 *
 * @param heartbeatInterval time between two heartbeats to each peer
 * @param peerTimeout time without a message after which a peer counts as failed
 * @param settleTime time after its start during which a node only listens for a coordinator
 * @param demandInterval time between two demand reports to the coordinator, and between its answers
 * @param directoryReadInterval time between two reads of the runner directory
 * @param maxDirectoryAge age of its directory from which a node reads the store itself
 * @param renewalInterval time between two renewals of the order lease
 * @param leaseDuration time for which a lease is valid after its last renewal
 * @param handoverDelay minimum time between the last order of one holder to a runner and the first
 *     order of the next holder to that runner
 * @param fencingEnforced whether runners refuse orders with an old fencing number
 */
public record FleetTimings(
    Duration heartbeatInterval,
    Duration peerTimeout,
    Duration settleTime,
    Duration demandInterval,
    Duration directoryReadInterval,
    Duration maxDirectoryAge,
    Duration renewalInterval,
    Duration leaseDuration,
    Duration handoverDelay,
    boolean fencingEnforced) {

  /**
   * Used where the settings specify none. The loss of a coordinator is detected after two missed
   * heartbeats. The intervals of the node that reads the store and of the relay behind it add up to
   * well below the two seconds within which every node must know of a leaving runner. A lease
   * outlives two failed renewals.
   */
  public static final FleetTimings DEFAULT =
      new FleetTimings(
          Duration.ofMillis(300),
          Duration.ofMillis(900),
          Duration.ofMillis(800),
          Duration.ofMillis(150),
          Duration.ofMillis(300),
          Duration.ofMillis(800),
          Duration.ofMillis(600),
          Duration.ofMillis(1800),
          Duration.ofSeconds(3),
          true);

  /** Share of the bound for leaving runners that relaying the information may take. */
  private static final double RELAY_SHARE = 0.4;

  /**
   * Returns these timings adapted to a platform's bound for leaving runners. A part of the bound is
   * reserved for a node that reads the store itself.
   *
   * @param bound time within which every node must know that a runner is leaving
   */
  public FleetTimings withLeaveBound(Duration bound) {
    Duration relayAge = Duration.ofMillis(Math.round(bound.toMillis() * RELAY_SHARE));
    return with(relayAge, handoverDelay, fencingEnforced);
  }

  /** Returns these timings with the platform's settings for orders. */
  public FleetTimings withOrders(Duration newHandoverDelay, boolean newFencingEnforced) {
    return with(maxDirectoryAge, newHandoverDelay, newFencingEnforced);
  }

  private FleetTimings with(
      Duration newMaxDirectoryAge, Duration newHandoverDelay, boolean newFencingEnforced) {
    return new FleetTimings(
        heartbeatInterval,
        peerTimeout,
        settleTime,
        demandInterval,
        directoryReadInterval,
        newMaxDirectoryAge,
        renewalInterval,
        leaseDuration,
        newHandoverDelay,
        newFencingEnforced);
  }
}
