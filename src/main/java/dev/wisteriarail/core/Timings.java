package dev.wisteriarail.core;

import java.time.Duration;

/**
 * Intervals and timeouts of a node.
 *
 * @param heartbeat interval between rounds of heartbeats
 * @param suspectAfter time without messages after which a peer is suspected to have failed
 * @param demandReport minimum time between two demand reports to the controller
 * @param plan interval between placement rounds of the controller
 * @param appendRetry time after which an append with an unknown outcome is retried
 * @param cells timings for the control of a cell
 */
public record Timings(
    Duration heartbeat,
    Duration suspectAfter,
    Duration demandReport,
    Duration plan,
    Duration appendRetry,
    CellTimings cells) {

  /** Creates timings with the default cell timings. */
  public Timings(
      Duration heartbeat,
      Duration suspectAfter,
      Duration demandReport,
      Duration plan,
      Duration appendRetry) {
    this(heartbeat, suspectAfter, demandReport, plan, appendRetry, CellTimings.DEFAULT);
  }

  /** The default timings. */
  public static final Timings DEFAULT =
      new Timings(
          Duration.ofMillis(300),
          Duration.ofMillis(1_200),
          Duration.ofMillis(50),
          Duration.ofMillis(250),
          Duration.ofMillis(500));
}
