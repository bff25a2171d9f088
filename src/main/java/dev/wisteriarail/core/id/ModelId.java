package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a model.
 *
 * @param value the identifier as text, never empty
 */
public record ModelId(@JsonValue String value) implements Comparable<ModelId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ModelId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static ModelId of(String value) {
    return new ModelId(value);
  }

  @Override
  public int compareTo(ModelId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
