package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.route.RouteSpec;
import java.time.Duration;

/**
 * Decides when a runner that answers nothing is given up for one request that may run again.
 *
 * <p>The load that it answers: a runner goes silent, or leaves a part of its requests unanswered
 * while it serves the others. A runner that is nearly full is slow and not silent, so giving it up
 * would only add load; there a request waits on.
 */
public final class StallRule {

  /** First byte: this many objectives, by which sound runners have long answered. */
  private static final int FIRST_BYTE_OBJECTIVE_FACTOR = 2;

  /** Least time for a first byte, above the jitter of a busy machine. */
  private static final Duration MIN_FIRST_BYTE_TIMEOUT = Duration.ofMillis(250);

  /** Next event: this many of the longest pauses that are still on time. */
  private static final int EVENT_GAP_FACTOR = 3;

  /** Least time for the next event: a runner may read a long prompt between two events. */
  private static final Duration MIN_EVENT_TIMEOUT = Duration.ofMillis(700);

  /** Share of a runner's slots from which it counts as nearly full. */
  private static final double NEARLY_FULL_SHARE = 0.75;

  private StallRule() {}

  /**
   * Returns whether an attempt is given up.
   *
   * @param route the request's route
   * @param answerStarted whether the caller got a part of the answer
   * @param silence time since the last byte, or since the request was sent
   * @param running requests on the runner
   * @param slots requests that it serves at a time
   */
  public static boolean isStalled(
      RouteSpec route, boolean answerStarted, Duration silence, int running, int slots) {
    if (!route.repeatable()) {
      return false;
    }
    if (answerStarted) {
      return silence.compareTo(
              max(MIN_EVENT_TIMEOUT, route.gapObjective().multipliedBy(EVENT_GAP_FACTOR)))
          > 0;
    }
    return running < slots * NEARLY_FULL_SHARE
        && silence.compareTo(
                max(
                    MIN_FIRST_BYTE_TIMEOUT,
                    route.objective().multipliedBy(FIRST_BYTE_OBJECTIVE_FACTOR)))
            > 0;
  }

  private static Duration max(Duration a, Duration b) {
    return a.compareTo(b) >= 0 ? a : b;
  }
}
