package dev.wisteriarail.core;

import java.time.Instant;
import java.util.Optional;

/** Utility methods for optional points in time. */
public final class Deadlines {

  private Deadlines() {}

  /** Returns the earlier of two points in time; an empty one is ignored. */
  public static Optional<Instant> earliest(Optional<Instant> left, Optional<Instant> right) {
    if (left.isEmpty()) {
      return right;
    }
    if (right.isEmpty() || left.get().isBefore(right.get())) {
      return left;
    }
    return right;
  }
}
