package dev.wisteriarail.core.request;

import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;

/** The refusals of requests that cannot be, or were not, answered by their deadline. */
final class LateRefusals {

  /** The least time after which a caller is told to come back. */
  static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private LateRefusals() {}

  /** Returns the refusal of a request that cannot start in time; says when it could. */
  static Refusal unreachable(PendingRequest pending, String what, Duration time) {
    Duration comeBack = time.compareTo(RETRY_AFTER) < 0 ? RETRY_AFTER : time;
    String detail = what + " at least " + time.toMillis() + " ms";
    return pending.handedOver()
        ? Refusal.mayHaveRun(ResultCode.DEADLINE_UNREACHABLE, detail, comeBack)
        : Refusal.notRun(ResultCode.DEADLINE_UNREACHABLE, detail, comeBack);
  }

  /** Returns the refusal of a request whose deadline has passed. */
  static Refusal passed(PendingRequest pending) {
    String detail = "no runner could answer the request before its deadline";
    return pending.handedOver()
        ? Refusal.mayHaveRun(ResultCode.DEADLINE_PASSED, detail, RETRY_AFTER)
        : Refusal.notRun(ResultCode.DEADLINE_PASSED, detail, RETRY_AFTER);
  }

  /** Returns the refusal of a request that is left when its node ends. */
  static Refusal nodeEnds(PendingRequest pending) {
    return pending.handedOver()
        ? Refusal.outcomeUnknown(ResultCode.OUTCOME_UNKNOWN, "the node ends; it may still run")
        : Refusal.notRun(ResultCode.DRAINING, "the node ends", Duration.ZERO);
  }

  /** Returns the ending of a call whose non-repeatable request runs on. */
  static Refusal stillRunning() {
    return Refusal.mayHaveRun(
        ResultCode.OUTCOME_UNKNOWN, "no answer before the deadline; it may still run", RETRY_AFTER);
  }
}
