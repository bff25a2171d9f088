package dev.wisteriarail.core.tenant;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures the cost that callers of one tenant demand at one node, whether admitted or refused.
 *
 * <p>The rate follows a rise within about two seconds. It falls slowly, because a node with a few
 * requests per second would otherwise lose its share between two of them. Not thread-safe.
 */
final class DemandMeter {

  private static final double RISE_SECONDS = 2;
  private static final double FALL_SECONDS = 8;

  /** Time after its last request for which a tenant is expected to return to this node. */
  private static final Duration RECENT = Duration.ofSeconds(60);

  private double fast;
  private double slow;
  private double largest;
  private Instant updatedAt = Instant.EPOCH;
  private Instant lastAt = Instant.EPOCH;

  void add(double cost, Instant now) {
    decay(now);
    fast += cost / RISE_SECONDS;
    slow += cost / FALL_SECONDS;
    largest = Math.max(largest, cost);
    lastAt = now;
  }

  /** Returns the cost demanded per second. */
  double perSecond(Instant now) {
    decay(now);
    return Math.max(fast, slow);
  }

  /** Returns the largest cost of a recent request; it fades while requests are smaller. */
  double largest(Instant now) {
    decay(now);
    return isRecent(now) ? largest : 0;
  }

  boolean isRecent(Instant now) {
    return now.isBefore(lastAt.plus(RECENT));
  }

  private void decay(Instant now) {
    double seconds = Math.max(0, Duration.between(updatedAt, now).toNanos() / 1e9);
    fast *= Math.exp(-seconds / RISE_SECONDS);
    slow *= Math.exp(-seconds / FALL_SECONDS);
    largest *= Math.exp(-seconds / RECENT.toSeconds());
    updatedAt = now;
  }
}
