package dev.wisteriarail.core;

import java.time.Instant;
import java.util.Optional;

/** Picks the earliest of several points in time that may be absent. */
public final class Deadlines {

  private Deadlines() {}

  /** Returns the earlier of two points; either may be empty. */
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
