package dev.wisteriarail.core;

import java.time.Duration;

/**
 * Intervals and bounds of the control of a cell.
 *
 * @param reportLag the longest time by which an engine's report lags behind its state
 * @param orderTransit the longest time after which an order whose answer was lost may take effect
 * @param closeAfter silence after which a node counts as closed, and a runner as empty, although
 *     nothing else tells so
 * @param closeAfterUnlisted absence from the VM list, unheard, after which a node counts as closed
 * @param orderTimeout time without an answer after which an order's outcome counts as unknown
 * @param orderRetry time between two orders for the same replica
 * @param fenceWait time that a new controller waits for runners before its first decision
 * @param claimStagger time by which the next node in rank claims a vacant cell later
 * @param slowLogAfter age of a record that was not read back, from which on the log counts as slow
 * @param runnerLostAfter time out of reach after which the replicas of a runner are to be unloaded
 * @param drainLimit time that a draining controller waits for the log to release its claim
 */
public record CellTimings(
    Duration reportLag,
    Duration orderTransit,
    Duration closeAfter,
    Duration closeAfterUnlisted,
    Duration orderTimeout,
    Duration orderRetry,
    Duration fenceWait,
    Duration claimStagger,
    Duration slowLogAfter,
    Duration runnerLostAfter,
    Duration drainLimit) {

  /** The bounds of a node whose settings name none. */
  public static final CellTimings DEFAULT =
      new CellTimings(
          Duration.ofSeconds(2),
          Duration.ofMinutes(10),
          Duration.ofHours(1),
          Duration.ofMinutes(10),
          Duration.ofSeconds(10),
          Duration.ofSeconds(2),
          Duration.ofMillis(500),
          Duration.ofMillis(250),
          Duration.ofMillis(1_500),
          Duration.ofSeconds(5),
          Duration.ofSeconds(2));
}
