package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a customer: the party as which a caller authenticates.
 *
 * @param value the identifier as text, never empty
 */
public record CustomerId(@JsonValue String value) implements Comparable<CustomerId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public CustomerId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static CustomerId of(String value) {
    return new CustomerId(value);
  }

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
