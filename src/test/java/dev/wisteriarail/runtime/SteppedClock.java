package dev.wisteriarail.runtime;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that advances only by the pauses of a {@link ListenerBinder}. */
public final class SteppedClock implements InstantSource, ListenerBinder.Pause {

  private Instant now = Instant.EPOCH;

  @Override
  public Instant instant() {
    return now;
  }

  @Override
  public void await(Duration duration) {
    now = now.plus(duration);
  }
}
