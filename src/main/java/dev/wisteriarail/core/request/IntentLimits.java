package dev.wisteriarail.core.request;

/**
 * How much the ledger of idempotency keys keeps. All nodes of a deployment use the same limits,
 * since they decide which keys are free.
 *
 * @param maxKeys newest keys that are kept with their answers
 * @param maxExpiredKeys newest keys beyond these that are still recognised, and refused
 * @param maxAnswerLength longest answer that is kept, in characters
 */
public record IntentLimits(int maxKeys, int maxExpiredKeys, int maxAnswerLength) {

  /** The limits of a node whose settings name none. */
  public static final IntentLimits DEFAULT = new IntentLimits(20_000, 200_000, 16_384);
}
