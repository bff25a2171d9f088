package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a kind of request, which determines its urgency, deadline and repeatability.
 *
 * @param value the identifier as text, never empty
 */
public record KindId(@JsonValue String value) implements Comparable<KindId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public KindId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static KindId of(String value) {
    return new KindId(value);
  }

  @Override
  public int compareTo(KindId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
