package dev.wisteriarail.core.request;

/** What to do with a non-repeatable request, decided by the records read from the log. */
sealed interface IntentDecision {

  /** Wait: it is not decided yet which request holds the key, or the holder has not ended yet. */
  record Wait() implements IntentDecision {}

  /** Run the request once: it holds its key. */
  record Run() implements IntentDecision {}

  /**
   * Return the answer that is stored for the key.
   *
   * @param status HTTP status of the answer
   * @param body body of the answer
   */
  record Answer(int status, String body) implements IntentDecision {}

  /**
   * Refuse the request.
   *
   * @param refusal why the request is refused
   */
  record Refuse(Refusal refusal) implements IntentDecision {}
}
