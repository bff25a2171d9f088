package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.DeploymentSpec;
import java.time.Duration;
import java.time.Instant;

/**
 * Limits the rate and the concurrency of loads from the weight store, with a token bucket and a
 * bound on the number of loads that the store serves at full speed.
 *
 * <p>Life cycle: one per planner; the bucket starts full. Not thread-safe.
 */
final class WeightStoreLimiter {

  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens = Double.NaN;
  private Instant lastRefill = Instant.MIN;
  private int activeLoads;
  private int maxConcurrentLoads;

  /** Refills the bucket for the elapsed time and sets the number of running loads. */
  void startRound(DeploymentSpec deployment, int runningLoads, Instant now) {
    double capacity = Math.max(1, deployment.loadsPerSecond());
    if (Double.isNaN(tokens)) {
      tokens = capacity;
    } else {
      double elapsedSeconds = Duration.between(lastRefill, now).toNanos() / NANOS_PER_SECOND;
      tokens =
          Math.min(capacity, tokens + Math.max(0, elapsedSeconds) * deployment.loadsPerSecond());
    }
    lastRefill = now;
    activeLoads = runningLoads;
    maxConcurrentLoads = deployment.concurrentLoads();
  }

  /** Acquires a permit for one load; returns false if a limit is reached. */
  boolean tryAcquire() {
    if (tokens < 1 || activeLoads >= maxConcurrentLoads) {
      return false;
    }
    tokens--;
    activeLoads++;
    return true;
  }

  /** Returns whether a load may start and still leaves capacity for one more load on demand. */
  boolean hasSpareCapacity() {
    return tokens >= 2 && activeLoads + 1 < maxConcurrentLoads;
  }
}
