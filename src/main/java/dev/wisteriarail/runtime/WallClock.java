package dev.wisteriarail.runtime;

import java.time.Clock;
import java.time.Duration;
import java.time.InstantSource;

/** The wall clock of a node, which tests can offset. Stateless. */
public final class WallClock {

  /** System property: offset of the wall clock in milliseconds, for tests of wrong clocks. */
  public static final String OFFSET_PROPERTY = "wisteriarail.clock.offset_ms";

  private WallClock() {}

  /** Returns the system clock, shifted by the offset from the property. */
  public static InstantSource source() {
    return Clock.offset(Clock.systemUTC(), Duration.ofMillis(Long.getLong(OFFSET_PROPERTY, 0)));
  }
}
