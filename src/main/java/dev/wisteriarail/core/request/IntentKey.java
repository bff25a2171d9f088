package dev.wisteriarail.core.request;

import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.IdempotencyKey;
import dev.wisteriarail.core.log.RecordBody.IntentChange;
import java.util.Comparator;

/**
 * An idempotency key, scoped to its customer.
 *
 * @param customer the customer
 * @param key the idempotency key
 */
public record IntentKey(CustomerId customer, IdempotencyKey key) implements Comparable<IntentKey> {

  private static final Comparator<IntentKey> ORDER =
      Comparator.comparing(IntentKey::customer).thenComparing(IntentKey::key);

  /** Returns the key that a change affects. */
  public static IntentKey of(IntentChange change) {
    return new IntentKey(change.customer(), change.key());
  }

  @Override
  public int compareTo(IntentKey other) {
    return ORDER.compare(this, other);
  }
}
