package dev.wisteriarail.core.request;

/**
 * Limits on the stored idempotency keys. All nodes of a deployment must use the same limits, since
 * the limits determine which keys are free.
 *
 * @param maxKeys maximum number of keys that are stored with their answers; older keys expire
 * @param maxExpiredKeys maximum number of expired keys that are still recognised and refused
 * @param maxAnswerLength maximum length of a stored answer, in characters
 */
public record IntentLimits(int maxKeys, int maxExpiredKeys, int maxAnswerLength) {

  /** The limits that {@link RequestTable} uses. */
  public static final IntentLimits DEFAULT = new IntentLimits(20_000, 200_000, 16_384);
}
