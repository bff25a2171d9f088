package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a failure domain: machines that may fail together.
 *
 * @param value the identifier as text, never empty
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public FailureDomain {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static FailureDomain of(String value) {
    return new FailureDomain(value);
  }

  @Override
  public int compareTo(FailureDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
