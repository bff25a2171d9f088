package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an order to an engine; an engine executes an order at most once.
 *
 * @param value the identifier as text, never empty
 */
public record OrderId(@JsonValue String value) implements Comparable<OrderId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public OrderId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static OrderId of(String value) {
    return new OrderId(value);
  }

  @Override
  public int compareTo(OrderId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
