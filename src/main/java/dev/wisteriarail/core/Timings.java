package dev.wisteriarail.core;

import java.time.Duration;

/**
 * Intervals and bounds of a node.
 *
 * @param heartbeat time between heartbeats to each peer
 * @param suspectAfter silence after which a peer is taken for dead
 * @param demandReport least time between two demand reports to the controller
 * @param plan time between two rounds of placement on the controller
 * @param appendRetry time after which an append with unknown outcome is sent again
 * @param cells bounds of the control of a cell
 */
public record Timings(
    Duration heartbeat,
    Duration suspectAfter,
    Duration demandReport,
    Duration plan,
    Duration appendRetry,
    CellTimings cells) {

  /** Returns timings with the default bounds for cells. */
  public Timings(
      Duration heartbeat,
      Duration suspectAfter,
      Duration demandReport,
      Duration plan,
      Duration appendRetry) {
    this(heartbeat, suspectAfter, demandReport, plan, appendRetry, CellTimings.DEFAULT);
  }

  /** The intervals of a node whose settings name none. */
  public static final Timings DEFAULT =
      new Timings(
          Duration.ofMillis(300),
          Duration.ofMillis(1_200),
          Duration.ofMillis(50),
          Duration.ofMillis(250),
          Duration.ofMillis(500));
}
