package dev.wisteriarail.fuzz;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/** A seeded source of random values. Each part of a run uses its own stream. Not thread-safe. */
public final class SeededRandom {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final SplittableRandom random;

  private SeededRandom(SplittableRandom random) {
    this.random = random;
  }

  /** Returns the random stream of a part of a run. */
  public static SeededRandom of(long seed, String part) {
    return new SeededRandom(new SplittableRandom(seed * 31 + part.hashCode()));
  }

  /** Returns true with the given probability. */
  public boolean nextBoolean(double probability) {
    return random.nextDouble() < probability;
  }

  /** Returns a number from 0, inclusive, to the bound, exclusive. */
  public int nextInt(int bound) {
    return random.nextInt(bound);
  }

  /** Returns a duration between two bounds in milliseconds. */
  public Duration nextDuration(double min, double max) {
    return Duration.ofNanos((long) ((min + random.nextDouble() * (max - min)) * NANOS_PER_MILLI));
  }

  /** Returns a random entry of a list. */
  public <T> T pick(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }
}
