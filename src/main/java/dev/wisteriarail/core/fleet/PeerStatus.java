package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.LogPosition;
import java.util.Optional;

/**
 * Status that a node publishes in each heartbeat.
 *
 * @param fence fencing number under which it sends orders to runners; 0 if it sends none
 * @param lastFence fencing number of its last claim that took effect; 0 if there was none
 * @param quietMillis if it sends no orders, time for which its successor has to wait with its own
 * @param leaseEnd for a node that sends orders, end of the lease log as of its last renewal
 * @param storeReachable whether the node can reach the platform's store
 * @param settled whether it has listened long enough since its start to take over shared duties
 * @param draining whether it is shutting down
 * @param configurationVersion version of its active configuration; 0 if there is none
 * @param directoryOffset position up to which it knows the runner directory
 * @param directoryChange position after the last directory change that is significant to other
 *     nodes
 * @param directoryAgeMillis time since its copy of the directory was last known to be current
 * @param configurationAgeMillis time since its configuration was last known to be the newest; empty
 *     if it never was, or from a node of an earlier version
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
    long directoryAgeMillis,
    Optional<Long> configurationAgeMillis) {

  /** Accepts messages of earlier versions, which lack the last field. */
  public PeerStatus {
    configurationAgeMillis =
        configurationAgeMillis == null ? Optional.empty() : configurationAgeMillis;
  }

  /** Assumed for a node that has published no status yet. */
  public static final PeerStatus UNKNOWN =
      new PeerStatus(
          0,
          0,
          0,
          LogPosition.NONE,
          false,
          false,
          false,
          0,
          LogPosition.NONE,
          LogPosition.NONE,
          0,
          Optional.empty());
}
