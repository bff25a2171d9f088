package dev.wisteriarail.core.request;

/** How an attempt to run a request on a runner ended. */
public sealed interface AttemptOutcome {

  /**
   * The backend server answered to the end.
   *
   * @param status HTTP status of the answer
   */
  record Completed(int status) implements AttemptOutcome {}

  /**
   * The backend server got the request or part of it and said that it did not run it.
   *
   * @param reason its words
   */
  record Rejected(String reason) implements AttemptOutcome {}

  /**
   * No byte of the request was handed over.
   *
   * @param reason what went wrong
   */
  record NotHandedOver(String reason) implements AttemptOutcome {}

  /**
   * The request was handed over, and the answer is missing or cut.
   *
   * @param reason what went wrong
   * @param backendLost whether the backend server itself is gone, as after a crash
   */
  record Broken(String reason, boolean backendLost) implements AttemptOutcome {}
}
