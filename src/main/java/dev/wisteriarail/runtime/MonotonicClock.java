package dev.wisteriarail.runtime;

import java.time.Instant;
import java.time.InstantSource;

/** A clock that never goes back: the wall time at its start plus the monotonic time since. */
public final class MonotonicClock implements InstantSource {

  private final Instant base;
  private final long baseNanos;

  private MonotonicClock(Instant base, long baseNanos) {
    this.base = base;
    this.baseNanos = baseNanos;
  }

  /** Returns a clock that starts at the present wall time. */
  public static MonotonicClock start() {
    return start(InstantSource.system());
  }

  /** Returns a clock that starts at the present time of another one. */
  public static MonotonicClock start(InstantSource wallClock) {
    return new MonotonicClock(wallClock.instant(), System.nanoTime());
  }

  @Override
  public Instant instant() {
    return base.plusNanos(System.nanoTime() - baseNanos);
  }
}
