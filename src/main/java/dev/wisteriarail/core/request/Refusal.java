package dev.wisteriarail.core.request;

import dev.wisteriarail.core.result.Execution;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.Optional;

/**
 * Why a request got no complete answer.
 *
 * @param code the numbered code
 * @param execution whether it ran
 * @param detail an English sentence for the caller
 * @param retryAfter when a retry makes sense; empty if it does not
 */
public record Refusal(
    ResultCode code, Execution execution, String detail, Optional<Duration> retryAfter) {

  /** Returns a refusal of a request that did not run and may be sent again after a delay. */
  public static Refusal notRun(ResultCode code, String detail, Duration retryAfter) {
    return new Refusal(code, Execution.NOT_RUN, detail, Optional.of(retryAfter));
  }

  /** Returns a refusal of a request that did not run and would be refused again. */
  public static Refusal notRun(ResultCode code, String detail) {
    return new Refusal(code, Execution.NOT_RUN, detail, Optional.empty());
  }

  /** Returns a refusal of a repeatable request that was handed over; it may be sent again. */
  public static Refusal mayHaveRun(ResultCode code, String detail, Duration retryAfter) {
    return new Refusal(code, Execution.MAY_HAVE_RUN, detail, Optional.of(retryAfter));
  }

  /** Returns the ending of a request that was handed over without a known outcome. */
  public static Refusal outcomeUnknown(ResultCode code, String detail) {
    return new Refusal(code, Execution.MAY_HAVE_RUN, detail, Optional.empty());
  }
}
