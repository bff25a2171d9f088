package dev.wisteriarail.runtime;

import java.time.Clock;
import java.time.Duration;
import java.time.InstantSource;

/** The time of day as a node sees it. Stateless. */
public final class WallClock {

  /** Names by how many milliseconds a node's time of day is ahead, for tests of wrong clocks. */
  public static final String OFFSET_PROPERTY = "wisteriarail.clock.offset_ms";

  private WallClock() {}

  /** Returns the machine's time of day, moved by the offset that the property names. */
  public static InstantSource source() {
    return Clock.offset(Clock.systemUTC(), Duration.ofMillis(Long.getLong(OFFSET_PROPERTY, 0)));
  }
}
