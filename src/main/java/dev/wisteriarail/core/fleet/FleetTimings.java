package dev.wisteriarail.core.fleet;

import java.time.Duration;

/**
 * Intervals of the duties that nodes share.
 *
 * @param heartbeatInterval between two heartbeats to each peer
 * @param peerTimeout after which a silent peer counts as lost
 * @param settleTime time after its start in which a node only listens for a coordinator
 * @param demandInterval between two reports to the coordinator, and between its answers
 * @param directoryReadInterval between two reads of the directory of runners
 * @param maxDirectoryAge age of its directory after which a node reads the store for itself
 * @param renewalInterval between two renewals of the lease on orders
 * @param leaseDuration time after its last renewal for which a lease holds
 * @param handoverDelay pause between the last order of one holder to a runner and the first of the
 *     next to that runner
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
   * Used where the settings name none. A coordinator's loss is noticed after two missed heartbeats;
   * a reading node and the relay behind it together stay well below the two seconds in which a
   * leaving runner must be known everywhere; a lease outlives two failed renewals.
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

  /** Part of the time in which a leaving runner must be known that its word may be on the way. */
  private static final double RELAY_SHARE = 0.4;

  /**
   * Returns the same timings for a platform's bound on leaving runners. The rest of it is left for
   * a node that reads the store for itself.
   *
   * @param bound time in which every node must know that a runner leaves
   */
  public FleetTimings withLeaveBound(Duration bound) {
    Duration relayAge = Duration.ofMillis(Math.round(bound.toMillis() * RELAY_SHARE));
    return with(relayAge, handoverDelay, fencingEnforced);
  }

  /** Returns the same timings with what the platform says of orders. */
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
