package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a plain service, to which requests are routed in addition to model engines.
 *
 * @param value the identifier as text, never empty
 */
public record ServiceId(@JsonValue String value) implements Comparable<ServiceId> {

  /** Rejects an empty identifier. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ServiceId {
    Identifiers.checkText(value);
  }

  /** Returns the identifier for the given text. */
  public static ServiceId of(String value) {
    return new ServiceId(value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
