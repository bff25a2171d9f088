package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a node: one wisteriarail process on an entry VM.
 *
 * @param value the identifier as text, never empty
 */
public record NodeId(@JsonValue String value) implements Comparable<NodeId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public NodeId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static NodeId of(String value) {
    return new NodeId(value);
  }

  @Override
  public int compareTo(NodeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
