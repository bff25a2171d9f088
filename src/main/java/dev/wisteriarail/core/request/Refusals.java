package dev.wisteriarail.core.request;

import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;

/** Creates refusals of requests that miss their deadline or whose node stops. */
final class Refusals {

  /** The minimum time after which a caller is asked to retry. */
  static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

  private Refusals() {}

  /**
   * Returns the refusal of a request that cannot start before its deadline.
   *
   * @param cause what takes the time, as the start of a sentence
   * @param time the estimated time until the request could start
   */
  static Refusal deadlineUnreachable(PendingRequest pending, String cause, Duration time) {
    Duration retryAfter = time.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : time;
    String detail = cause + " at least " + time.toMillis() + " ms";
    return pending.mayHaveReachedBackend()
        ? Refusal.mayHaveRun(ResultCode.DEADLINE_UNREACHABLE, detail, retryAfter)
        : Refusal.notRun(ResultCode.DEADLINE_UNREACHABLE, detail, retryAfter);
  }

  /** Returns the refusal of a request whose deadline has passed. */
  static Refusal deadlinePassed(PendingRequest pending) {
    String detail = "no runner could answer the request before its deadline";
    return pending.mayHaveReachedBackend()
        ? Refusal.mayHaveRun(ResultCode.DEADLINE_PASSED, detail, MIN_RETRY_AFTER)
        : Refusal.notRun(ResultCode.DEADLINE_PASSED, detail, MIN_RETRY_AFTER);
  }

  /** Returns the refusal of a request that is still pending when its node stops. */
  static Refusal nodeStopping(PendingRequest pending) {
    return pending.mayHaveReachedBackend()
        ? Refusal.outcomeUnknown(
            ResultCode.OUTCOME_UNKNOWN, "the node is stopping; the request may still be running")
        : Refusal.notRun(ResultCode.DRAINING, "the node is stopping", Duration.ZERO);
  }

  /** Returns the refusal of a non-repeatable request that keeps running after its deadline. */
  static Refusal stillRunning() {
    return Refusal.mayHaveRun(
        ResultCode.OUTCOME_UNKNOWN,
        "no answer before the deadline; the request may still be running",
        MIN_RETRY_AFTER);
  }
}
