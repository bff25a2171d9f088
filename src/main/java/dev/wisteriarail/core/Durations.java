package dev.wisteriarail.core;

import java.time.Duration;

/** Utility methods for lengths of time. */
public final class Durations {

  private Durations() {}

  /** Returns the shorter of two lengths. */
  public static Duration min(Duration left, Duration right) {
    return left.compareTo(right) <= 0 ? left : right;
  }

  /** Returns the longer of two lengths. */
  public static Duration max(Duration left, Duration right) {
    return left.compareTo(right) >= 0 ? left : right;
  }
}
