package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a node: a wisteriarail process on an entry VM.
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

  /**
   * Returns a well-distributed hash, also for names that differ only in one digit. Applies the
   * finalizer of SplitMix64 to the hash code of the name.
   */
  public long mixedHash() {
    long hash = value.hashCode();
    hash = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
    hash = (hash ^ hash >>> 27) * 0x94d049bb133111ebL;
    return hash ^ hash >>> 31;
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
