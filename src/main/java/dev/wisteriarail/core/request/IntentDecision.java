package dev.wisteriarail.core.request;

/** What may be done with a non-repeatable request, as far as the log tells. */
sealed interface IntentDecision {

  /** Its key is not settled yet. */
  record Wait() implements IntentDecision {}

  /** It holds its key and may be handed over, once. */
  record Run() implements IntentDecision {}

  /**
   * The key has an answer already.
   *
   * @param status HTTP status of the answer
   * @param body the answer's body
   */
  record Answer(int status, String body) implements IntentDecision {}

  /**
   * It must not run.
   *
   * @param refusal why
   */
  record Refuse(Refusal refusal) implements IntentDecision {}
}
