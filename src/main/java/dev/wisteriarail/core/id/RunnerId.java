package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a runner: a backend server with a model engine or a plain service.
 *
 * @param value the identifier as text, never empty
 */
public record RunnerId(@JsonValue String value) implements Comparable<RunnerId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public RunnerId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static RunnerId of(String value) {
    return new RunnerId(value);
  }

  @Override
  public int compareTo(RunnerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
