package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a cell: a group of runners with one controller.
 *
 * @param value the identifier as text, never empty
 */
public record CellId(@JsonValue String value) implements Comparable<CellId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public CellId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static CellId of(String value) {
    return new CellId(value);
  }

  @Override
  public int compareTo(CellId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
