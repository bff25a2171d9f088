package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.CellTimings;
import dev.wisteriarail.core.Timings;
import java.time.Duration;

/**
 * The timings of fuzzed nodes. Bounds of minutes and hours in a deployment are seconds here; each
 * is longer than the fault that it must cover.
 */
final class FuzzTimings {

  /** Longer than the delay of an order that arrives after its sender stopped waiting. */
  private static final Duration ORDER_TRANSIT = Duration.ofSeconds(8);

  /** Longer than the sum of a pause and the transit time of an order. */
  private static final Duration CLOSURE = Duration.ofSeconds(75);

  /** Longer than the time for which the VM list hides a live node. */
  private static final Duration LIST_ABSENCE = Duration.ofSeconds(20);

  private FuzzTimings() {}

  /** Returns the intervals and bounds of every fuzzed node. */
  static Timings timings() {
    Timings usual = Timings.DEFAULT;
    CellTimings bounds = usual.cells();
    return new Timings(
        usual.heartbeat(),
        usual.suspectAfter(),
        usual.demandReport(),
        usual.plan(),
        usual.appendRetry(),
        new CellTimings(
            bounds.reportLag(),
            ORDER_TRANSIT,
            CLOSURE,
            LIST_ABSENCE,
            bounds.orderTimeout(),
            bounds.orderRetry(),
            bounds.fenceWait(),
            bounds.claimStagger(),
            bounds.slowLogAfter(),
            bounds.runnerLostAfter(),
            bounds.drainLimit()));
  }
}
