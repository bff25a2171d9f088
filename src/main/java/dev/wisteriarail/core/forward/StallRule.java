package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.Durations;
import dev.wisteriarail.core.route.RouteSpec;
import java.time.Duration;

/**
 * Decides when a request whose runner does not respond is sent to another runner, too, if it may be
 * executed again.
 *
 * <p>A runner may stop responding, or not answer a part of its requests while it serves the others.
 * A nearly full runner is slow rather than stalled, and sending its requests to others would only
 * add load, so they keep waiting.
 */
public final class StallRule {

  /** Multiple of the latency objective within which healthy runners have sent the first byte. */
  private static final int FIRST_BYTE_OBJECTIVE_FACTOR = 2;

  /** Minimum timeout for the first byte, above the jitter of a busy machine. */
  private static final Duration MIN_FIRST_BYTE_TIMEOUT = Duration.ofMillis(250);

  /** Multiple of the longest gap between events that still meets its objective. */
  private static final int EVENT_GAP_FACTOR = 3;

  /** Minimum timeout for the next event; a runner may read a long prompt between two events. */
  private static final Duration MIN_EVENT_TIMEOUT = Duration.ofMillis(700);

  /** Share of its slots in use from which a runner counts as nearly full. */
  private static final double NEARLY_FULL_SHARE = 0.75;

  private StallRule() {}

  /**
   * Returns whether an attempt has stalled.
   *
   * @param route the route of the request
   * @param answerStarted whether the caller has received a part of the response
   * @param silence time since the last byte, or since the request was sent
   * @param running number of requests at the runner
   * @param slots number of requests that the runner serves concurrently
   */
  public static boolean isStalled(
      RouteSpec route, boolean answerStarted, Duration silence, int running, int slots) {
    if (!route.repeatable()) {
      return false;
    }
    if (answerStarted) {
      return silence.compareTo(
              Durations.max(MIN_EVENT_TIMEOUT, route.gapObjective().multipliedBy(EVENT_GAP_FACTOR)))
          > 0;
    }
    return running < slots * NEARLY_FULL_SHARE
        && silence.compareTo(
                Durations.max(
                    MIN_FIRST_BYTE_TIMEOUT,
                    route.objective().multipliedBy(FIRST_BYTE_OBJECTIVE_FACTOR)))
            > 0;
  }
}
