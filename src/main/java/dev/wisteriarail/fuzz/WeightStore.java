package dev.wisteriarail.fuzz;

import java.time.Duration;
import java.time.Instant;

/** A fake of the weight store, which determines the time that loads take. */
final class WeightStore {

  private final World world;
  private double factor = 1;
  private Instant slowUntil = Instant.MIN;

  WeightStore(World world) {
    this.world = world;
  }

  /** Returns the current duration of a load that takes the given time at full speed. */
  Duration loadTime(Duration fullSpeed) {
    boolean slow = world.now().isBefore(slowUntil);
    return slow ? Duration.ofNanos((long) (fullSpeed.toNanos() * factor)) : fullSpeed;
  }

  void slow(double newFactor, Instant until) {
    factor = newFactor;
    slowUntil = until;
  }
}
