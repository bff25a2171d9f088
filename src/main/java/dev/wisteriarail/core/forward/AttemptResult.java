package dev.wisteriarail.core.forward;

/** What became of an attempt to have a runner serve a request. */
public sealed interface AttemptResult {

  /** The first bytes of a complete head and body were passed on to the caller. */
  record Started() implements AttemptResult {}

  /** More of the answer was passed on; told at most a few times a second. */
  record Progressed() implements AttemptResult {}

  /**
   * The whole answer was passed on to the caller.
   *
   * @param status HTTP status
   */
  record Finished(int status) implements AttemptResult {}

  /**
   * The runner answered with a failure; the adapter holds its answer.
   *
   * @param status HTTP status
   * @param notRun whether the runner says that it did not run the request
   * @param relayable whether the answer is whole and bears the runner's signature
   */
  record Answered(int status, boolean notRun, boolean relayable) implements AttemptResult {}

  /**
   * No byte of the request was sent.
   *
   * @param reason what went wrong
   */
  record NotSent(String reason) implements AttemptResult {}

  /**
   * The request was sent, and there is no whole answer to it.
   *
   * @param reason what went wrong
   * @param started whether a part of the answer was passed on to the caller
   * @param lastEvent identifier of the last whole event that was passed on; empty if there is none
   * @param connectionLost whether the connection ended, as it does when a runner crashes
   */
  record Broken(String reason, boolean started, String lastEvent, boolean connectionLost)
      implements AttemptResult {}
}
