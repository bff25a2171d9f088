package dev.wisteriarail.core.request;

/** What may be done with a non-repeatable request, as far as the log tells. */
sealed interface IntentVerdict {

  /** Its key is not settled yet. */
  record Wait() implements IntentVerdict {}

  /** It holds its key and may be handed over, once. */
  record Run() implements IntentVerdict {}

  /**
   * The key has an answer already.
   *
   * @param status HTTP status of the answer
   * @param answer the answer's body
   */
  record Answer(int status, String answer) implements IntentVerdict {}

  /**
   * It must not run.
   *
   * @param refusal why
   */
  record Refuse(Refusal refusal) implements IntentVerdict {}
}
