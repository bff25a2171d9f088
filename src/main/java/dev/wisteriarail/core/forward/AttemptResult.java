package dev.wisteriarail.core.forward;

/** Progress or result of an attempt to have a runner serve a request. */
public sealed interface AttemptResult {

  /** The headers and the first bytes of the response body were relayed to the caller. */
  record Started() implements AttemptResult {}

  /** More of the response was relayed to the caller; reported at most a few times a second. */
  record Progressed() implements AttemptResult {}

  /**
   * More of the response was relayed to the caller, so that the other live attempts of the request
   * may no longer write.
   *
   * @param over number of the newest attempt that may no longer write
   */
  record Prevailed(int over) implements AttemptResult {}

  /**
   * No more of the response is received for now: the caller does not read what was relayed, or the
   * node has no space to hold more.
   */
  record Paused() implements AttemptResult {}

  /** The reason for {@link Paused} has ended; the response is received again. */
  record Resumed() implements AttemptResult {}

  /**
   * The complete response was relayed to the caller, or is held for it and no longer needs its
   * runner.
   *
   * @param status HTTP status
   */
  record Finished(int status) implements AttemptResult {}

  /**
   * The runner responded with a failure; the adapter holds the response.
   *
   * @param status HTTP status
   * @param notRun whether the runner reports that it did not execute the request
   * @param relayable whether the response is complete and bears the runner's signature
   */
  record Answered(int status, boolean notRun, boolean relayable) implements AttemptResult {}

  /**
   * No byte of the request was sent.
   *
   * @param reason description of the failure
   */
  record NotSent(String reason) implements AttemptResult {}

  /**
   * This node failed while sending the request, which is no evidence against the runner.
   *
   * @param reason description of the failure
   * @param maybeSent whether a byte of the request may have been sent
   * @param lastEvent identifier of the last complete event that was relayed; empty if there is none
   */
  record LocalFault(String reason, boolean maybeSent, String lastEvent) implements AttemptResult {}

  /**
   * The request was sent, and no complete response was received.
   *
   * @param reason description of the failure
   * @param started whether a part of the response was relayed to the caller
   * @param lastEvent identifier of the last complete event that was relayed; empty if there is none
   * @param connectionLost whether the connection was lost, as it is when a runner crashes; false if
   *     this node ended it, for example because it cannot read the response
   */
  record Broken(String reason, boolean started, String lastEvent, boolean connectionLost)
      implements AttemptResult {}
}
