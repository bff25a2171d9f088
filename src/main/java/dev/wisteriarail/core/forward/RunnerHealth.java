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
  private static final Duration FIRST_PAUSE = Duration.ofMillis(500);

  /** Longest pause: a runner that works again is found within this time. */
  private static final Duration LONGEST_PAUSE = Duration.ofSeconds(4);

  /** Weight of the newest result in the share of failures. */
  private static final double NEWEST_WEIGHT = 0.15;

  /**
   * Share of failures at which a runner is left out. Sound runners stay below a fifth of it lately.
   */
  private static final double FAILING_SHARE = 0.4;

  private double failures;
  private Duration pause = FIRST_PAUSE;
  private Instant outUntil = Instant.MIN;
  private boolean onProbation;
  private boolean probing;

  private RunnerHealth() {}

  /** Returns the health of a runner that nothing is known of. */
  public static RunnerHealth create() {
    return new RunnerHealth();
  }

  /** Notes that a request ended well. */
  public void succeed() {
    failures *= 1 - NEWEST_WEIGHT;
    if (onProbation) {
      onProbation = false;
      failures = 0;
      pause = FIRST_PAUSE;
    }
    probing = false;
  }

  /**
   * Notes that a request failed.
   *
   * @param certain whether the failure alone shows that the runner is down, as a refused connection
   *     does
   * @return whether the runner is left out from now on
   */
  public boolean fail(boolean certain, Instant now) {
    failures = failures * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
    probing = false;
    boolean out = !now.isBefore(outUntil);
    if (out && (certain || onProbation || failures >= FAILING_SHARE)) {
      outUntil = now.plus(pause);
      pause =
          pause.multipliedBy(2).compareTo(LONGEST_PAUSE) < 0
              ? pause.multipliedBy(2)
              : LONGEST_PAUSE;
      onProbation = true;
      return true;
    }
    return false;
  }

  /** Notes that a probing request ended without a verdict. */
  public void release() {
    probing = false;
  }

  /** Notes that a request is sent. */
  public void send() {
    probing = onProbation;
  }

  /** Returns whether the runner may get a request now. */
  public boolean isIn(Instant now) {
    return !now.isBefore(outUntil) && !(onProbation && probing);
  }

  /** Returns the share of requests that failed lately, 0 to 1. */
  public double failures() {
    return failures;
  }
}
