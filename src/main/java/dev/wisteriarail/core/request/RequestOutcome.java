package dev.wisteriarail.core.request;

/** How a request ended. Each request has exactly one outcome. */
public sealed interface RequestOutcome {

  /**
   * The complete answer was sent to the caller.
   *
   * @param status HTTP status of the answer
   */
  record Completed(int status) implements RequestOutcome {}

  /**
   * The request was refused, or its answer is incomplete and the caller can detect this.
   *
   * @param refusal why the caller got no complete answer
   */
  record Refused(Refusal refusal) implements RequestOutcome {}
}
