package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a replica of a model on a runner; never reused.
 *
 * @param value the identifier as text, never empty
 */
public record ReplicaId(@JsonValue String value) implements Comparable<ReplicaId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ReplicaId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static ReplicaId of(String value) {
    return new ReplicaId(value);
  }

  @Override
  public int compareTo(ReplicaId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
