package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.cell.CellFleet.LogMode;
import dev.wisteriarail.core.cell.CellFleet.Node;
import dev.wisteriarail.core.id.RequestId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Measures the latency of cold starts in virtual time: without faults, after the controller is
 * killed, and in a log outage.
 *
 * <p>Run with {@code java -cp target/test-classes:target/wisteriarail.jar
 * dev.wisteriarail.core.cell.CellBench}.
 */
final class CellBench {

  private static final int RUNS = 40;
  private static final Duration LIMIT = Duration.ofSeconds(30);

  private CellBench() {}

  /** Runs all scenarios and prints a line of results for each. */
  public static void main(String[] arguments) {
    Random random = new Random(1);
    List<Long> faultFree = new ArrayList<>();
    List<Long> crash = new ArrayList<>();
    List<Long> outage = new ArrayList<>();
    List<Long> takeover = new ArrayList<>();
    long overcommitted = 0;
    long repeated = 0;
    for (int run = 0; run < RUNS; run++) {
      for (int scenario = 0; scenario < 3; scenario++) {
        CellFleet fleet = CellFleet.of(8, 6, run % 2 == 0);
        fleet.run(Duration.ofMillis(5_000 + random.nextInt(1_000)));
        Node controller = fleet.controller();
        Node router = fleet.otherThan(controller);
        if (scenario == 1) {
          controller.dead = true;
        } else if (scenario == 2) {
          fleet.nodes.values().forEach(node -> node.logMode = LogMode.DOWN);
          fleet.run(Duration.ofMinutes(5));
        }
        Instant start = fleet.now;
        RequestId request = fleet.send(router, "m1");
        if (scenario == 1) {
          fleet.runUntil(LIMIT, () -> fleet.loads() > 0);
          takeover.add(Duration.between(start, fleet.now).toMillis());
        }
        fleet.runUntil(LIMIT, () -> fleet.answered.containsKey(request));
        List<Long> times = scenario == 0 ? faultFree : scenario == 1 ? crash : outage;
        times.add(Duration.between(start, fleet.now).toMillis());
        overcommitted += fleet.overcommitted();
        repeated += fleet.loads() - 1;
      }
    }
    print("cold start, no fault", faultFree);
    print("cold start, controller killed", crash);
    print("controller killed to first load by successor", takeover);
    print("cold start, log down for 5 min", outage);
    System.out.println("overcommitted bytes " + overcommitted + ", extra loads " + repeated);
  }

  private static void print(String what, List<Long> times) {
    Collections.sort(times);
    long median = times.get(times.size() / 2);
    long tail = times.get((int) Math.ceil(times.size() * 0.99) - 1);
    System.out.println(what + ": p50 " + median + " ms, p99 " + tail + " ms, runs " + times.size());
  }
}
