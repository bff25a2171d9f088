package dev.wisteriarail.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Fencing number that orders the controllers of a cell: the log offset of the controller's claim.
 * An engine that checks fencing numbers refuses an order with a lower number than the highest one
 * it has seen.
 *
 * @param value the number
 */
public record FencingNumber(@JsonValue long value) implements Comparable<FencingNumber> {

  /** The number before the first claim. */
  public static final FencingNumber NONE = new FencingNumber(-1);

  /** Accepts any number. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public FencingNumber {}

  /** Returns the typed form of the given number. */
  public static FencingNumber of(long value) {
    return new FencingNumber(value);
  }

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
