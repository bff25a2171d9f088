package dev.wisteriarail.fuzz;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/** Seeded random choices. Each part of a run draws from a stream of its own. */
public final class SeededRandom {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final SplittableRandom random;

  private SeededRandom(SplittableRandom random) {
    this.random = random;
  }

  /** Returns the stream of one part of a run. */
  public static SeededRandom of(long seed, String part) {
    return new SeededRandom(new SplittableRandom(seed * 31 + part.hashCode()));
  }

  /** Returns true with the given probability. */
  public boolean nextBoolean(double probability) {
    return random.nextDouble() < probability;
  }

  /** Returns a number from 0 to the bound, exclusive. */
  public int nextInt(int bound) {
    return random.nextInt(bound);
  }

  /** Returns a duration between two numbers of milliseconds. */
  public Duration nextDuration(double least, double most) {
    return Duration.ofNanos(
        (long) ((least + random.nextDouble() * (most - least)) * NANOS_PER_MILLI));
  }

  /** Returns one entry of a list. */
  public <T> T pick(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }
}
