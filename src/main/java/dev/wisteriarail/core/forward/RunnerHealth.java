package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.time.Instant;

/**
 * Health of a runner, judged by the results of its requests, and its ejection while it fails.
 *
 * <p>A runner may fail, corrupt or not answer a part of its requests while it reports that it is
 * healthy, so health checks are not used. A failing runner is ejected for a time that doubles with
 * each failure on probation; after that time a single request probes it.
 *
 * <p>Not thread-safe.
 */
public final class RunnerHealth {

  /** Duration of the first ejection, in which a connection fault may pass. */
  private static final Duration FIRST_EJECTION = Duration.ofMillis(500);

  /** Maximum duration of an ejection; a runner that works again is found within this time. */
  private static final Duration MAX_EJECTION = Duration.ofSeconds(4);

  /** Weight of the newest result in the failure rate. */
  private static final double NEWEST_WEIGHT = 0.15;

  /**
   * Failure rate at which a runner is ejected. The recent failure rate of a healthy runner stays
   * below a fifth of this threshold.
   */
  private static final double EJECTION_THRESHOLD = 0.4;

  private double failureRate;
  private boolean silent;
  private Duration nextEjection = FIRST_EJECTION;
  private Instant ejectedUntil = Instant.MIN;
  private boolean onProbation;
  private boolean probing;

  private RunnerHealth() {}

  /** Creates the health of a runner without any results. */
  public static RunnerHealth create() {
    return new RunnerHealth();
  }

  /** Records that a request succeeded. */
  public void recordSuccess() {
    failureRate *= 1 - NEWEST_WEIGHT;
    if (onProbation) {
      onProbation = false;
      failureRate = 0;
      nextEjection = FIRST_EJECTION;
    }
    probing = false;
    silent = false;
  }

  /**
   * Records that a request has waited too long for its next byte. A runner that is only slow goes
   * on, so until the request has ended this weighs as one failure and ejects no runner.
   */
  public void recordSilence() {
    silent = true;
  }

  /** Records that a request has received more of its response. */
  public void recordProgress() {
    silent = false;
  }

  /**
   * Records that a request failed.
   *
   * @param conclusive whether the failure alone shows that the runner is down, as a refused
   *     connection does
   * @return whether the runner is ejected from now on
   */
  public boolean recordFailure(boolean conclusive, Instant now) {
    failureRate = failureRate * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
    probing = false;
    silent = false;
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

  /** Records that a probe ended without a conclusive result. */
  public void releaseProbe() {
    probing = false;
    silent = false;
  }

  /** Records that a request is sent to the runner. */
  public void recordSend() {
    probing = onProbation;
  }

  /** Returns whether the runner may get a request now. */
  public boolean isAvailable(Instant now) {
    return !now.isBefore(ejectedUntil) && !(onProbation && probing);
  }

  /** Returns the failure rate of recent requests, from 0 to 1; higher while it is silent. */
  public double failureRate() {
    return silent ? Math.max(failureRate, NEWEST_WEIGHT) : failureRate;
  }
}
