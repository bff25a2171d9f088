package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an attempt to run a request on a runner; unique across all nodes.
 *
 * @param value the identifier as text, never empty
 */
public record AttemptId(@JsonValue String value) implements Comparable<AttemptId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public AttemptId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static AttemptId of(String value) {
    return new AttemptId(value);
  }

  @Override
  public int compareTo(AttemptId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
