package dev.wisteriarail.core.request;

import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.log.RecordBody.IntentChange;
import dev.wisteriarail.core.log.RecordBody.IntentRecorded;
import java.util.Optional;

/**
 * The state of a used idempotency key.
 *
 * @param recorded the intent that acquired the key
 * @param conclusion the change that recorded the outcome; empty while the request may still be
 *     dispatched or running
 */
public record IntentState(IntentRecorded recorded, Optional<IntentChange> conclusion) {

  /** Returns the request that holds the key. */
  public RequestId request() {
    return recorded.request();
  }

  /** Returns whether the request has no recorded outcome yet. */
  public boolean isOpen() {
    return conclusion.isEmpty();
  }

  IntentState withConclusion(IntentChange change) {
    return new IntentState(recorded, Optional.of(change));
  }
}
