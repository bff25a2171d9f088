package dev.wisteriarail.core;

import java.time.Duration;

/**
 * Intervals and timeouts for the control of a cell.
 *
 * @param reportLag maximum delay of an engine's report behind its actual state
 * @param orderTransit maximum time after which an order whose response was lost may take effect
 * @param closeAfter time without messages after which a node counts as closed, and a runner as
 *     empty, without any other evidence
 * @param closeAfterUnlisted time off the VM list and without messages after which a node counts as
 *     closed
 * @param orderTimeout time without a response after which the outcome of an order counts as unknown
 * @param orderRetry time between two orders for the same replica
 * @param fenceWait time that a new controller waits for runners before its first decision
 * @param claimStagger additional delay per rank before a node claims a vacant cell
 * @param slowLogAfter age of a record that was not read back, from which on the log counts as slow
 * @param runnerLostAfter time out of reach after which the replicas of a runner are to be unloaded
 * @param drainLimit maximum time that a draining controller waits for its claim to be released in
 *     the log
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

  /** The default timings. */
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
