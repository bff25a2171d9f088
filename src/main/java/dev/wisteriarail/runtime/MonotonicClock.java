package dev.wisteriarail.runtime;

import java.time.Instant;
import java.time.InstantSource;

/** A clock that never goes back: the wall-clock time at its start plus the time elapsed since. */
public final class MonotonicClock implements InstantSource {

  private final Instant base;
  private final long baseNanos;

  private MonotonicClock(Instant base, long baseNanos) {
    this.base = base;
    this.baseNanos = baseNanos;
  }

  /** Returns a clock that starts at the current wall-clock time. */
  public static MonotonicClock start() {
    return start(InstantSource.system());
  }

  /** Returns a clock that starts at the current time of another clock. */
  public static MonotonicClock start(InstantSource wallClock) {
    return new MonotonicClock(wallClock.instant(), System.nanoTime());
  }

  @Override
  public Instant instant() {
    return base.plusNanos(System.nanoTime() - baseNanos);
  }
}
