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
   * The request was refused, or its answer ended with an error that shows that it is incomplete.
   *
   * @param refusal why
   */
  record Refused(Refusal refusal) implements RequestOutcome {}
}
