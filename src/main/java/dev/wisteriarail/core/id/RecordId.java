package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a log record; a record that was appended more than once has the same identifier each
 * time.
 *
 * @param value the identifier as text, never empty
 */
public record RecordId(@JsonValue String value) implements Comparable<RecordId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public RecordId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static RecordId of(String value) {
    return new RecordId(value);
  }

  @Override
  public int compareTo(RecordId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
