package dev.wisteriarail.core.fleet;

import java.time.Duration;

/**
 * Intervals of the duties that nodes share.
 *
 * @param beat between two heartbeats to each peer
 * @param silence after which a silent peer counts as lost
 * @param settle time after its start in which a node only listens for a coordinator
 * @param demand between two reports to the coordinator, and between its answers
 * @param directoryRead between two reads of the directory of runners
 * @param directoryStale age of its directory after which a node reads the store for itself
 * @param renew between two renewals of the lease on orders
 * @param lease time after its last renewal for which a lease holds
 * @param handover pause between the last order of one holder to a runner and the first of the next
 *     to that runner
 * @param fencesEnforced whether runners refuse orders with an old fencing number
 */
public record FleetTimings(
    Duration beat,
    Duration silence,
    Duration settle,
    Duration demand,
    Duration directoryRead,
    Duration directoryStale,
    Duration renew,
    Duration lease,
    Duration handover,
    boolean fencesEnforced) {

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
  private static final double RELAYED_SHARE = 0.4;

  /**
   * Returns the same timings for a platform's bound on leaving runners. The rest of it is left for
   * a node that reads the store for itself.
   *
   * @param bound time in which every node must know that a runner leaves
   */
  public FleetTimings withLeaveBound(Duration bound) {
    Duration relayed = Duration.ofMillis(Math.round(bound.toMillis() * RELAYED_SHARE));
    return with(relayed, handover, fencesEnforced);
  }

  /** Returns the same timings with what the platform says of orders. */
  public FleetTimings withOrders(Duration newHandover, boolean newFencesEnforced) {
    return with(directoryStale, newHandover, newFencesEnforced);
  }

  private FleetTimings with(
      Duration newDirectoryStale, Duration newHandover, boolean newFencesEnforced) {
    return new FleetTimings(
        beat,
        silence,
        settle,
        demand,
        directoryRead,
        newDirectoryStale,
        renew,
        lease,
        newHandover,
        newFencesEnforced);
  }
}
