package dev.wisteriarail.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.wisteriarail.core.result.SettingsException;
import java.time.Duration;
import java.util.Collections;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures the overhead of a node. Calls to a stand-in engine alternate between a direct connection
 * and one node within the same run; afterwards many concurrent callers measure the throughput of
 * the node.
 */
public final class OverheadExperiment {

  private static final int WARM_UP_CALLS = 2_000;
  private static final int TIMED_CALLS = 4_000;
  private static final int PARALLEL_CALLERS = 64;
  private static final int CALLS_PER_CALLER = 500;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);

  private final OverheadFleet fleet;

  private OverheadExperiment(OverheadFleet fleet) {
    this.fleet = fleet;
  }

  /** Runs the experiment and returns its results; latencies are in milliseconds. */
  public static ObjectNode run() throws SettingsException, InterruptedException {
    try (OverheadFleet fleet = OverheadFleet.start()) {
      fleet.awaitReady(READY_TIMEOUT);
      return new OverheadExperiment(fleet).measure();
    }
  }

  private ObjectNode measure() throws InterruptedException {
    for (int i = 0; i < WARM_UP_CALLS; i++) {
      fleet.callDirectly();
      fleet.callThroughNode();
    }
    Histogram direct = new Histogram(SIGNIFICANT_DIGITS);
    Histogram routed = new Histogram(SIGNIFICANT_DIGITS);
    for (int i = 0; i < TIMED_CALLS; i++) {
      direct.recordValue(measureMicros(fleet::callDirectly));
      routed.recordValue(measureMicros(fleet::callThroughNode));
    }
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("calls", TIMED_CALLS);
    addPercentiles(json, "direct", direct);
    addPercentiles(json, "through_node", routed);
    json.put("added_p50_ms", millis(routed, 50) - millis(direct, 50));
    json.put("added_p99_ms", millis(routed, 99) - millis(direct, 99));
    json.put("node_requests_per_second", measureThroughput());
    json.put("parallel_callers", PARALLEL_CALLERS);
    return json;
  }

  private double measureThroughput() throws InterruptedException {
    Callable<Void> caller = this::callRepeatedly;
    long start = System.nanoTime();
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      for (Future<Void> call : callers.invokeAll(Collections.nCopies(PARALLEL_CALLERS, caller))) {
        call.get();
      }
    } catch (ExecutionException failure) {
      throw new IllegalStateException(failure);
    }
    double seconds = (System.nanoTime() - start) / 1e9;
    return PARALLEL_CALLERS * CALLS_PER_CALLER / seconds;
  }

  private Void callRepeatedly() throws InterruptedException {
    for (int i = 0; i < CALLS_PER_CALLER; i++) {
      fleet.callThroughNode();
    }
    return null;
  }

  // Helpers

  /** A call to measure, which may be interrupted. */
  @FunctionalInterface
  private interface TimedCall {
    void run() throws InterruptedException;
  }

  private static long measureMicros(TimedCall call) throws InterruptedException {
    long start = System.nanoTime();
    call.run();
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
  }

  private static void addPercentiles(ObjectNode json, String name, Histogram micros) {
    json.put(name + "_p50_ms", millis(micros, 50));
    json.put(name + "_p99_ms", millis(micros, 99));
  }

  private static double millis(Histogram micros, double percentile) {
    return micros.getValueAtPercentile(percentile) / 1_000.0;
  }
}
