package dev.wisteriarail.core.request;

/** How an attempt to run a request on a runner ended. */
public sealed interface AttemptOutcome {

  /**
   * The backend server sent its complete answer.
   *
   * @param status HTTP status of the answer
   */
  record Completed(int status) implements AttemptOutcome {}

  /**
   * The backend server received all or part of the request and reported that it did not run it.
   *
   * @param reason the reason given by the backend server
   */
  record Rejected(String reason) implements AttemptOutcome {}

  /**
   * No byte of the request was sent to the backend server.
   *
   * @param reason what went wrong
   */
  record NotHandedOver(String reason) implements AttemptOutcome {}

  /**
   * The request was sent to the backend server, and its answer is missing or incomplete.
   *
   * @param reason what went wrong
   * @param backendLost whether the backend server itself was lost, for example by a crash
   */
  record Broken(String reason, boolean backendLost) implements AttemptOutcome {}
}
