package dev.wisteriarail.core.placement;

import java.time.Instant;

/**
 * How busy each hour of the day is against the mean, over all models of a deployment.
 *
 * <p>Gives the clock of activity: it runs as fast as requests come, so that a gap over night counts
 * for less than the same gap at noon. Not thread-safe.
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

  /** Notes arrivals. */
  void record(int count, Instant now) {
    arrivals[hourOf(now)] += count;
    total += count;
  }

  /** Moves the clock of activity on to a point in time. */
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

  /** Returns the time on the clock of activity, in seconds. */
  double activitySeconds() {
    return activitySeconds;
  }

  /** Returns the arrivals of an hour of the day against the mean hour; 1 where nothing is known. */
  double relativeRate(Instant at) {
    double priorPerHour = UNIFORM_PRIOR / HOURS;
    double hourWeight = arrivals[hourOf(at)] + priorPerHour;
    return Math.max(MIN_RATE, hourWeight * HOURS / (total + UNIFORM_PRIOR));
  }

  /** Returns a point in time in seconds. */
  static double seconds(Instant at) {
    return at.getEpochSecond() + at.getNano() / 1e9;
  }

  private static int hourOf(Instant at) {
    return (int) (Math.floorDiv(at.getEpochSecond(), (long) SECONDS_PER_HOUR) % HOURS);
  }
}
