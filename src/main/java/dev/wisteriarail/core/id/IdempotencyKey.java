package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The key by which a customer marks a request that must run at most once.
 *
 * @param value the identifier as text, never empty
 */
public record IdempotencyKey(@JsonValue String value) implements Comparable<IdempotencyKey> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public IdempotencyKey {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static IdempotencyKey of(String value) {
    return new IdempotencyKey(value);
  }

  @Override
  public int compareTo(IdempotencyKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
