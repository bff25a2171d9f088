package dev.wisteriarail.core.request;

import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;

/** The refusals of requests that cannot be, or were not, answered by their deadline. */
final class Refusals {

  /** The least time after which a caller is told to come back. */
  static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private Refusals() {}

  /** Returns the refusal of a request that cannot start in time; says when it could. */
  static Refusal deadlineUnreachable(PendingRequest pending, String cause, Duration time) {
    Duration retryAfter = time.compareTo(RETRY_AFTER) < 0 ? RETRY_AFTER : time;
    String detail = cause + " at least " + time.toMillis() + " ms";
    return pending.mayHaveReachedBackend()
        ? Refusal.mayHaveRun(ResultCode.DEADLINE_UNREACHABLE, detail, retryAfter)
        : Refusal.notRun(ResultCode.DEADLINE_UNREACHABLE, detail, retryAfter);
  }

  /** Returns the refusal of a request whose deadline has passed. */
  static Refusal deadlinePassed(PendingRequest pending) {
    String detail = "no runner could answer the request before its deadline";
    return pending.mayHaveReachedBackend()
        ? Refusal.mayHaveRun(ResultCode.DEADLINE_PASSED, detail, RETRY_AFTER)
        : Refusal.notRun(ResultCode.DEADLINE_PASSED, detail, RETRY_AFTER);
  }

  /** Returns the refusal of a request that is left when its node ends. */
  static Refusal nodeStopping(PendingRequest pending) {
    return pending.mayHaveReachedBackend()
        ? Refusal.outcomeUnknown(ResultCode.OUTCOME_UNKNOWN, "the node ends; it may still run")
        : Refusal.notRun(ResultCode.DRAINING, "the node ends", Duration.ZERO);
  }

  /** Returns the ending of a call whose non-repeatable request runs on. */
  static Refusal stillRunning() {
    return Refusal.mayHaveRun(
        ResultCode.OUTCOME_UNKNOWN, "no answer before the deadline; it may still run", RETRY_AFTER);
  }
}
