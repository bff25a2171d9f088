package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a request without a free runner waits, and for how long at most.
 *
 * <p>The load that it answers: more requests ask for models that are not loaded than loads can be
 * done in time. A request waits only while its start can still come in time; if the start is known
 * to come too late it is refused at once, with the time at which a place is expected.
 */
public final class WaitRule {

  /** Time between the start at a runner and the first byte at the caller. */
  private static final Duration START_MARGIN = Duration.ofMillis(200);

  /** Shortest useful time to come back: a caller that comes sooner finds the same state. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(500);

  /** Time to come back where nothing is known about the start. */
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(2);

  private WaitRule() {}

  /**
   * Decides for one request.
   *
   * @param waitTimeLeft time that the caller still waits for the first byte
   * @param startsIn expected time until the start; empty if not known
   */
  public static Decision decide(Duration waitTimeLeft, Optional<Duration> startsIn) {
    Duration usable = waitTimeLeft.minus(START_MARGIN);
    if (usable.isNegative() || usable.isZero()) {
      return new Decision.Refuse(startsIn.orElse(DEFAULT_RETRY_AFTER));
    }
    if (startsIn.isPresent() && startsIn.get().compareTo(usable) > 0) {
      Duration retryAfter = startsIn.get();
      return new Decision.Refuse(
          retryAfter.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : retryAfter);
    }
    return new Decision.Wait();
  }

  /** What becomes of the request. */
  public sealed interface Decision {

    /** It waits. */
    record Wait() implements Decision {}

    /**
     * It is refused.
     *
     * @param retryAfter when the caller should come back
     */
    record Refuse(Duration retryAfter) implements Decision {}
  }
}
