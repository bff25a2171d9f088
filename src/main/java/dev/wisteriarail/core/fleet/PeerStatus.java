package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.LogPosition;

/**
 * What a node says of itself in each heartbeat.
 *
 * @param fence fencing number under which it gives orders to runners; 0 if it gives none
 * @param lastFence fencing number of its last claim that took effect; 0 if there was none
 * @param quietMillis if it gives no orders, time in which its successor has to wait for its own
 * @param leaseEnd for a node that gives orders, how far the log of the lease reached with its last
 *     renewal
 * @param storeReachable whether the platform's store answers it
 * @param settled whether it has listened long enough since its start to take duties
 * @param draining whether it is shutting down
 * @param configurationVersion version of the configuration in force on it; 0 if there is none
 * @param directoryOffset place up to which it knows the directory of runners
 * @param directoryChange place after the last change of the directory that matters to others
 * @param directoryAgeMillis time since its knowledge of the directory was last known to be current
 */
public record PeerStatus(
    long fence,
    long lastFence,
    long quietMillis,
    LogPosition leaseEnd,
    boolean storeReachable,
    boolean settled,
    boolean draining,
    long configurationVersion,
    LogPosition directoryOffset,
    LogPosition directoryChange,
    long directoryAgeMillis) {

  /** What is assumed of a node that has said nothing yet. */
  public static final PeerStatus UNKNOWN =
      new PeerStatus(
          0, 0, 0, LogPosition.NONE, false, false, false, 0, LogPosition.NONE, LogPosition.NONE, 0);
}
