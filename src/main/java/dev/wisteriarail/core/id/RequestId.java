package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a request of a caller; unique across all nodes.
 *
 * @param value the identifier as text, never empty
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public RequestId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static RequestId of(String value) {
    return new RequestId(value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
