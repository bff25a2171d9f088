package dev.wisteriarail.core.gateway;

import java.time.Duration;
import java.time.Instant;

/**
 * Number of nodes by which the floors of the tenants' allowances are divided. It must not be too
 * low, or the floors of all nodes would add up to more than intended.
 *
 * <p>It is unknown until the list of nodes was read from the store or {@link #LEARNING_TIME} has
 * passed, in which peers tell their lists. It falls only while a coordinator is known, since a node
 * that is cut off forgets its peers. Not thread-safe.
 */
final class FloorCount {

  /** Time in which a node hears the lists of its peers, one in eight of the slowest heartbeats. */
  private static final Duration LEARNING_TIME = Duration.ofSeconds(10);

  /** Time for which the number of known nodes must stay lower before the floors are raised. */
  private static final Duration DECREASE_DELAY = Duration.ofMinutes(10);

  private int nodes;
  private int highest;
  private boolean complete;
  private Instant highestAt = Instant.EPOCH;

  private FloorCount() {}

  static FloorCount create() {
    return new FloorCount();
  }

  /** Records that the list of nodes was read. */
  void markComplete() {
    complete = true;
  }

  /**
   * Updates the number.
   *
   * @param known number of nodes that this node knows, including itself
   * @param hasCoordinator whether a coordinator is known
   * @param runTime time since the start of the node
   * @return whether the number has changed
   */
  boolean update(int known, boolean hasCoordinator, Duration runTime, Instant now) {
    boolean lasting = !now.isBefore(highestAt.plus(DECREASE_DELAY));
    if (known >= highest || (hasCoordinator && lasting)) {
      highest = known;
      highestAt = now;
    } else if (!hasCoordinator) {
      highestAt = now;
    }
    complete |= runTime.compareTo(LEARNING_TIME) >= 0;
    boolean changed = complete && nodes != highest;
    nodes = complete ? highest : 0;
    return changed;
  }

  /** Returns the number; 0 if it is unknown. */
  int nodes() {
    return nodes;
  }
}
