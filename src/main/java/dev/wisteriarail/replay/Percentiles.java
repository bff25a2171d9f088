package dev.wisteriarail.replay;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of a duration.
 *
 * @param p50 the median, in milliseconds
 * @param p95 the 95th percentile, in milliseconds
 * @param p99 the 99th percentile, in milliseconds
 * @param max the maximum, in milliseconds
 */
public record Percentiles(long p50, long p95, long p99, long max) {

  /**
   * Returns the percentiles of a histogram of milliseconds; all are zero for an empty histogram.
   */
  static Percentiles of(Histogram histogram) {
    return new Percentiles(
        histogram.getValueAtPercentile(50),
        histogram.getValueAtPercentile(95),
        histogram.getValueAtPercentile(99),
        histogram.getMaxValue());
  }
}
