package dev.wisteriarail.core.request;

import dev.wisteriarail.core.result.Execution;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.Optional;

/**
 * Why a request got no complete answer.
 *
 * @param code the numeric result code
 * @param execution whether the request ran
 * @param detail an English sentence for the caller
 * @param retryAfter delay after which the caller may retry; empty if a retry is pointless
 */
public record Refusal(
    ResultCode code, Execution execution, String detail, Optional<Duration> retryAfter) {

  /** Returns the refusal of a request that did not run and may be retried after a delay. */
  public static Refusal notRun(ResultCode code, String detail, Duration retryAfter) {
    return new Refusal(code, Execution.NOT_RUN, detail, Optional.of(retryAfter));
  }

  /** Returns the refusal of a request that did not run and would be refused again. */
  public static Refusal notRun(ResultCode code, String detail) {
    return new Refusal(code, Execution.NOT_RUN, detail, Optional.empty());
  }

  /** Returns the refusal of a request that may have run and may be retried after a delay. */
  public static Refusal mayHaveRun(ResultCode code, String detail, Duration retryAfter) {
    return new Refusal(code, Execution.MAY_HAVE_RUN, detail, Optional.of(retryAfter));
  }

  /** Returns the refusal of a request that may have run and whose outcome is unknown. */
  public static Refusal outcomeUnknown(ResultCode code, String detail) {
    return new Refusal(code, Execution.MAY_HAVE_RUN, detail, Optional.empty());
  }
}
