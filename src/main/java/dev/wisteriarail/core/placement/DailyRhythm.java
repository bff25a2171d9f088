package dev.wisteriarail.core.placement;

import java.time.Instant;

/**
 * How busy each hour of the day is against the mean, over all models of a deployment.
 *
 * <p>Gives the clock of activity: it runs as fast as requests come, so that a gap over night counts
 * for less than the same gap at noon. Not thread-safe.
 */
final class DailyRhythm {

  private static final int HOURS = 24;
  private static final double SECONDS_AN_HOUR = 3_600;
  private static final double EVEN_PRIOR = 240;
  private static final double FADING_A_DAY = 0.8;
  private static final double LEAST_RATE = 0.05;

  private final double[] arrivals = new double[HOURS];
  private double total;
  private double lastSeconds = Double.NaN;
  private double activity;
  private long day = Long.MIN_VALUE;

  /** Notes arrivals. */
  void record(int count, Instant now) {
    arrivals[hourOf(now)] += count;
    total += count;
  }

  /** Moves the clock of activity on to a point in time. */
  void advance(Instant now) {
    double seconds = seconds(now);
    if (!Double.isNaN(lastSeconds) && seconds > lastSeconds) {
      activity += (seconds - lastSeconds) * rate(now);
    }
    lastSeconds = seconds;
    long today = Math.floorDiv(now.getEpochSecond(), (long) (HOURS * SECONDS_AN_HOUR));
    if (today != day) {
      fade();
      day = today;
    }
  }

  private void fade() {
    for (int i = 0; i < HOURS; i++) {
      arrivals[i] *= FADING_A_DAY;
    }
    total *= FADING_A_DAY;
  }

  // Accessors

  /** Returns the time on the clock of activity, in seconds. */
  double activity() {
    return activity;
  }

  /** Returns the arrivals of an hour of the day against the mean hour; 1 where nothing is known. */
  double rate(Instant at) {
    double even = EVEN_PRIOR / HOURS;
    double here = arrivals[hourOf(at)] + even;
    return Math.max(LEAST_RATE, here * HOURS / (total + EVEN_PRIOR));
  }

  /** Returns a point in time in seconds. */
  static double seconds(Instant at) {
    return at.getEpochSecond() + at.getNano() / 1e9;
  }

  private static int hourOf(Instant at) {
    return (int) (Math.floorDiv(at.getEpochSecond(), (long) SECONDS_AN_HOUR) % HOURS);
  }
}
