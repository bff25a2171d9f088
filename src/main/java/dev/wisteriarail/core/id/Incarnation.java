package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Distinguishes the runs of a process at the same address; a later run has a higher number.
 *
 * @param value the number
 */
public record Incarnation(@JsonValue long value) implements Comparable<Incarnation> {

  /** The unknown incarnation. */
  public static final Incarnation NONE = new Incarnation(0);

  /** Accepts any number. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public Incarnation {}

  /** Returns the typed form of the given number. */
  public static Incarnation of(long value) {
    return new Incarnation(value);
  }

  @Override
  public int compareTo(Incarnation other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
