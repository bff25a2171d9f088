package dev.wisteriarail.core.request;

/** How a request ended. Each request gets exactly one. */
public sealed interface RequestOutcome {

  /**
   * The whole answer was passed on.
   *
   * @param status HTTP status of the answer
   */
  record Completed(int status) implements RequestOutcome {}

  /**
   * The request was refused, or its answer is visibly incomplete.
   *
   * @param refusal why
   */
  record Refused(Refusal refusal) implements RequestOutcome {}
}
