package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.CellTimings;
import dev.wisteriarail.core.Timings;
import java.time.Duration;

/**
 * The settings of fuzzed nodes: bounds that are minutes and hours in a deployment are seconds here,
 * and each is longer than the fault that it bounds.
 */
final class FuzzTimings {

  /** Longer than an order may take to arrive after its sender gave up waiting. */
  private static final Duration ORDER_TRANSIT = Duration.ofSeconds(8);

  /** Longer than a pause and an order in flight together. */
  private static final Duration CLOSURE = Duration.ofSeconds(75);

  /** Longer than the VM list hides a live node. */
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
