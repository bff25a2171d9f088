package dev.wisteriarail.report;

import dev.wisteriarail.replay.Percentiles;
import dev.wisteriarail.replay.ReplayResult;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Mean results over the seeds of one policy and parameter.
 *
 * @param label the policy with its parameter
 * @param family the policy without its parameter
 * @param seeds number of replays
 * @param coldStarts requests that had a cold start
 * @param coldStartMs means of the percentiles of the cold start time, in milliseconds
 * @param modelWaitP99Ms 99th percentile of the wait for a model over all requests, in milliseconds
 * @param firstTokenP95Ms 95th percentile of the time to the first token, in milliseconds
 * @param firstTokenP99Ms 99th percentile of the time to the first token, in milliseconds
 * @param idleHours idle accelerator hours
 * @param loads model loads
 * @param refused refused requests
 */
public record MeanRow(
    String label,
    String family,
    int seeds,
    double coldStarts,
    Percentiles coldStartMs,
    double modelWaitP99Ms,
    double firstTokenP95Ms,
    double firstTokenP99Ms,
    double idleHours,
    double loads,
    double refused) {

  /** Returns one row per policy and parameter, in the order of their first occurrence. */
  public static List<MeanRow> of(List<ComparedRow> rows) {
    Map<String, List<ComparedRow>> byLabel = new LinkedHashMap<>();
    for (ComparedRow row : rows) {
      byLabel.computeIfAbsent(row.label(), label -> new ArrayList<>()).add(row);
    }
    return byLabel.values().stream().map(MeanRow::mean).toList();
  }

  private static MeanRow mean(List<ComparedRow> rows) {
    return new MeanRow(
        rows.getFirst().label(),
        rows.getFirst().family(),
        rows.size(),
        mean(rows, ReplayResult::coldStarts),
        new Percentiles(
            Math.round(mean(rows, result -> result.coldStartMs().p50())),
            Math.round(mean(rows, result -> result.coldStartMs().p95())),
            Math.round(mean(rows, result -> result.coldStartMs().p99())),
            Math.round(mean(rows, result -> result.coldStartMs().max()))),
        mean(rows, result -> result.modelWaitMs().p99()),
        mean(rows, result -> result.firstTokenMs().p95()),
        mean(rows, result -> result.firstTokenMs().p99()),
        mean(rows, ReplayResult::idleAcceleratorHours),
        mean(rows, ReplayResult::loads),
        mean(rows, ReplayResult::refused));
  }

  private static double mean(List<ComparedRow> rows, ToDoubleFunction<ReplayResult> measure) {
    return rows.stream()
        .mapToDouble(row -> measure.applyAsDouble(row.result()))
        .average()
        .orElse(0);
  }
}
