package dev.wisteriarail.core.request;

import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.log.RecordBody.IntentChange;
import dev.wisteriarail.core.log.RecordBody.IntentRecorded;
import java.util.Optional;

/**
 * What the log says of an idempotency key that is held.
 *
 * @param recorded the record that won the key
 * @param conclusion the record that closed it; empty while its request may still be handed over or
 *     running
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
