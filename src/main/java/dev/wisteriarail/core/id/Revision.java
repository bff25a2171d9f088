package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Revision number of an accepted configuration; it only increases.
 *
 * @param value the number
 */
public record Revision(@JsonValue long value) implements Comparable<Revision> {

  /** The revision before the first accepted configuration. */
  public static final Revision NONE = new Revision(0);

  /** Accepts any number. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public Revision {}

  /** Returns the typed form of the given number. */
  public static Revision of(long value) {
    return new Revision(value);
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
