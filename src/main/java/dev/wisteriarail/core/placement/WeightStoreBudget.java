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
final class WeightStoreBudget {

  private static final double NANOS_A_SECOND = 1e9;

  private double tokens = Double.NaN;
  private Instant last = Instant.MIN;
  private int running;
  private int limit;

  /** Refills for the time that passed and takes the number of loads that are running. */
  void startRound(DeploymentSpec deployment, int runningLoads, Instant now) {
    double full = Math.max(1, deployment.loadsPerSecond());
    if (Double.isNaN(tokens)) {
      tokens = full;
    } else {
      double passed = Duration.between(last, now).toNanos() / NANOS_A_SECOND;
      tokens = Math.min(full, tokens + Math.max(0, passed) * deployment.loadsPerSecond());
    }
    last = now;
    running = runningLoads;
    limit = deployment.concurrentLoads();
  }

  /** Takes one load, if it fits. */
  boolean take() {
    if (tokens < 1 || running >= limit) {
      return false;
    }
    tokens--;
    running++;
    return true;
  }

  /** Returns whether a load fits and leaves another one free for demand. */
  boolean hasSpare() {
    return tokens >= 2 && running + 1 < limit;
  }
}
