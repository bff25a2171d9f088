package dev.wisteriarail.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Latencies and outcome counts of one caller of a load run. Thread-safe. */
public final class CallerResult {

  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram firstTokenMicros = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
  private final Histogram totalMicros = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
  private final Map<String, LongAdder> outcomeCounts = new ConcurrentSkipListMap<>();

  void recordFirstToken(long micros) {
    firstTokenMicros.recordValue(Math.max(0, micros));
  }

  void recordTotal(long micros) {
    totalMicros.recordValue(Math.max(0, micros));
  }

  void recordOutcome(String outcome) {
    outcomeCounts.computeIfAbsent(outcome, ignored -> new LongAdder()).increment();
  }

  /** Returns the result as JSON: latencies in milliseconds and the number of calls by outcome. */
  public ObjectNode toJson() {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.set("first_token_ms", percentiles(firstTokenMicros));
    json.set("total_ms", percentiles(totalMicros));
    ObjectNode counts = json.putObject("outcomes");
    outcomeCounts.forEach((outcome, count) -> counts.put(outcome, count.sum()));
    return json;
  }

  private static ObjectNode percentiles(Histogram micros) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("count", micros.getTotalCount());
    json.put("p50", millis(micros.getValueAtPercentile(50)));
    json.put("p95", millis(micros.getValueAtPercentile(95)));
    json.put("p99", millis(micros.getValueAtPercentile(99)));
    json.put("max", millis(micros.getMaxValue()));
    return json;
  }

  private static double millis(long micros) {
    return micros / 1_000.0;
  }
}
