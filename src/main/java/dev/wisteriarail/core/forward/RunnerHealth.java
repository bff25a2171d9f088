package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.time.Instant;

/**
 * Whether a runner gets requests, judged by how its requests end.
 *
 * <p>The load that it answers: a runner fails, garbles or leaves unanswered a part of its requests
 * while it calls itself healthy. Health checks are not asked. A runner that fails is left out for a
 * pause that doubles with each failure on probation; a single request then tries it.
 *
 * <p>Not thread-safe.
 */
public final class RunnerHealth {

  /** Shortest pause: time for a connection fault to pass. */
  private static final Duration FIRST_EJECTION = Duration.ofMillis(500);

  /** Longest pause: a runner that works again is found within this time. */
  private static final Duration MAX_EJECTION = Duration.ofSeconds(4);

  /** Weight of the newest result in the share of failures. */
  private static final double NEWEST_WEIGHT = 0.15;

  /**
   * Share of failures at which a runner is left out. Sound runners stay below a fifth of it lately.
   */
  private static final double EJECTION_THRESHOLD = 0.4;

  private double failureRate;
  private Duration nextEjection = FIRST_EJECTION;
  private Instant ejectedUntil = Instant.MIN;
  private boolean onProbation;
  private boolean probing;

  private RunnerHealth() {}

  /** Returns the health of a runner that nothing is known of. */
  public static RunnerHealth create() {
    return new RunnerHealth();
  }

  /** Notes that a request ended well. */
  public void recordSuccess() {
    failureRate *= 1 - NEWEST_WEIGHT;
    if (onProbation) {
      onProbation = false;
      failureRate = 0;
      nextEjection = FIRST_EJECTION;
    }
    probing = false;
  }

  /**
   * Notes that a request failed.
   *
   * @param conclusive whether the failure alone shows that the runner is down, as a refused
   *     connection does
   * @return whether the runner is left out from now on
   */
  public boolean recordFailure(boolean conclusive, Instant now) {
    failureRate = failureRate * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
    probing = false;
    boolean notEjected = !now.isBefore(ejectedUntil);
    if (notEjected && (conclusive || onProbation || failureRate >= EJECTION_THRESHOLD)) {
      ejectedUntil = now.plus(nextEjection);
      nextEjection =
          nextEjection.multipliedBy(2).compareTo(MAX_EJECTION) < 0
              ? nextEjection.multipliedBy(2)
              : MAX_EJECTION;
      onProbation = true;
      return true;
    }
    return false;
  }

  /** Notes that a probing request ended without a verdict. */
  public void releaseProbe() {
    probing = false;
  }

  /** Notes that a request is sent. */
  public void recordSend() {
    probing = onProbation;
  }

  /** Returns whether the runner may get a request now. */
  public boolean isAvailable(Instant now) {
    return !now.isBefore(ejectedUntil) && !(onProbation && probing);
  }

  /** Returns the share of requests that failed lately, 0 to 1. */
  public double failureRate() {
    return failureRate;
  }
}
