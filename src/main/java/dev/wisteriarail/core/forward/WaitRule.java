package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a request for which no runner is free waits or is refused.
 *
 * <p>More requests may ask for models that are not loaded than models can be loaded in time. A
 * request waits only while it can still start in time. A request that is known to start too late is
 * refused at once, with the expected time until a runner is free as retry-after time.
 */
public final class WaitRule {

  /** Time from the start at a runner to the first byte at the caller. */
  private static final Duration START_MARGIN = Duration.ofMillis(200);

  /** Minimum retry-after time; a caller that retries sooner finds the same state. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(500);

  /** Retry-after time if the time until the start is unknown. */
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(2);

  private WaitRule() {}

  /**
   * Decides for one request.
   *
   * @param waitTimeLeft how long the caller still waits for the first byte
   * @param startsIn expected time until the start; empty if unknown
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

  /**
   * Decides for one request in a queue. On its arrival it is refused if it may have to wait for a
   * slot for longer than its caller does, as a queue that is a little too long would make each of
   * its requests wait in vain. Later it is refused only if its wait exceeds that time even at the
   * highest rate that the data allow. The retry-after time is the expected wait.
   *
   * @param waitTimeLeft how long the caller still waits for the first byte
   * @param startsIn expected time until a runner accepts requests; empty if unknown
   * @param slotWait expected wait for a slot; empty without data, which never leads to a refusal
   * @param arrives whether the request has not waited yet
   */
  public static Decision decide(
      Duration waitTimeLeft,
      Optional<Duration> startsIn,
      Optional<SlotForecast.Wait> slotWait,
      boolean arrives) {
    Decision decision = decide(waitTimeLeft, startsIn);
    if (decision instanceof Decision.Refuse || slotWait.isEmpty()) {
      return decision;
    }
    boolean cautious = arrives && slotWait.get().isReliable();
    Duration wait = cautious ? slotWait.get().most() : slotWait.get().least();
    Duration usable = waitTimeLeft.minus(START_MARGIN);
    // A caller may wait for longer than the data reach back; until then, other nodes' queues end
    // and the rate rises. The measured rate is trusted less in the same proportion.
    double reach = Math.max(1, (double) usable.toMillis() / slotWait.get().windowMillis());
    if (wait.toMillis() <= usable.toMillis() * reach) {
      return decision;
    }
    Duration expected = slotWait.get().expected();
    return new Decision.Refuse(
        expected.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : expected);
  }

  /** The decision for a request. */
  public sealed interface Decision {

    /** The request waits. */
    record Wait() implements Decision {}

    /**
     * The request is refused.
     *
     * @param retryAfter when the caller should retry
     */
    record Refuse(Duration retryAfter) implements Decision {}
  }
}
