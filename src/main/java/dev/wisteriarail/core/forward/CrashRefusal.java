package dev.wisteriarail.core.forward;

import java.util.Set;

/**
 * The decision to refuse requests that crash runners, as sent to peers and kept in the store.
 *
 * @param traits requests with all of these traits are refused
 * @param crashes number of crashes that led to the decision
 * @param remainingMillis time until such a request is tried again; negative after that, when a
 *     single crash refuses it again
 * @param termMillis length of the refusal, which grows with each repetition
 */
public record CrashRefusal(
    Set<RequestTrait> traits, int crashes, long remainingMillis, long termMillis) {

  /** Copies the set. */
  public CrashRefusal {
    traits = Set.copyOf(traits);
  }
}
