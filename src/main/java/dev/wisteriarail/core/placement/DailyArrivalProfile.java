package dev.wisteriarail.core.placement;

import java.time.Instant;

/**
 * Arrival rate of each hour of the day relative to the daily mean, over all models of a deployment.
 *
 * <p>Provides the activity clock, whose speed is the relative arrival rate, so that a gap during
 * the night counts for less than a gap of the same length at noon. Not thread-safe.
 */
final class DailyArrivalProfile {

  private static final int HOURS = 24;
  private static final double SECONDS_PER_HOUR = 3_600;
  private static final double UNIFORM_PRIOR = 240;
  private static final double DAILY_DECAY = 0.8;
  private static final double MIN_RATE = 0.05;

  private final double[] arrivals = new double[HOURS];
  private double total;
  private double lastSeconds = Double.NaN;
  private double activitySeconds;
  private long day = Long.MIN_VALUE;

  /** Records arrivals. */
  void record(int count, Instant now) {
    arrivals[hourOf(now)] += count;
    total += count;
  }

  /** Advances the activity clock to a point in time, and ages the counts once a day. */
  void advance(Instant now) {
    double seconds = seconds(now);
    if (!Double.isNaN(lastSeconds) && seconds > lastSeconds) {
      activitySeconds += (seconds - lastSeconds) * relativeRate(now);
    }
    lastSeconds = seconds;
    long today = Math.floorDiv(now.getEpochSecond(), (long) (HOURS * SECONDS_PER_HOUR));
    if (today != day) {
      decay();
      day = today;
    }
  }

  private void decay() {
    for (int i = 0; i < HOURS; i++) {
      arrivals[i] *= DAILY_DECAY;
    }
    total *= DAILY_DECAY;
  }

  // Accessors

  /** Returns the time on the activity clock, in seconds. */
  double activitySeconds() {
    return activitySeconds;
  }

  /** Returns the arrival rate at a time of day relative to the daily mean; 1 without any data. */
  double relativeRate(Instant at) {
    double priorPerHour = UNIFORM_PRIOR / HOURS;
    double hourWeight = arrivals[hourOf(at)] + priorPerHour;
    return Math.max(MIN_RATE, hourWeight * HOURS / (total + UNIFORM_PRIOR));
  }

  /** Returns a point in time as seconds since the epoch. */
  static double seconds(Instant at) {
    return at.getEpochSecond() + at.getNano() / 1e9;
  }

  private static int hourOf(Instant at) {
    return (int) (Math.floorDiv(at.getEpochSecond(), (long) SECONDS_PER_HOUR) % HOURS);
  }
}
