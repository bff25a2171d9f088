package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an adapter: a small set of weights applied on top of a model.
 *
 * @param value the identifier as text, never empty
 */
public record AdapterId(@JsonValue String value) implements Comparable<AdapterId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public AdapterId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static AdapterId of(String value) {
    return new AdapterId(value);
  }

  @Override
  public int compareTo(AdapterId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
