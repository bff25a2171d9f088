package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.DeploymentSpec;
import java.time.Duration;
import java.time.Instant;

/**
 * Keeps loads from the weight store within its rate and within the number that it serves at full
 * speed at once.
 *
 * <p>Not thread-safe; owned by a planner. A new one starts full.
 */
final class WeightStoreLimiter {

  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens = Double.NaN;
  private Instant lastRefill = Instant.MIN;
  private int activeLoads;
  private int maxConcurrentLoads;

  /** Refills for the time that passed and takes the number of loads that are running. */
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

  /** Takes one load, if it fits. */
  boolean tryAcquire() {
    if (tokens < 1 || activeLoads >= maxConcurrentLoads) {
      return false;
    }
    tokens--;
    activeLoads++;
    return true;
  }

  /** Returns whether a load fits and leaves another one free for demand. */
  boolean hasSpareCapacity() {
    return tokens >= 2 && activeLoads + 1 < maxConcurrentLoads;
  }
}
