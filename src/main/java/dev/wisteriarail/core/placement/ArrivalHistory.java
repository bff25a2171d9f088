package dev.wisteriarail.core.placement;

/**
 * When the requests of one model arrived, as far as the next arrival can be foreseen from it.
 *
 * <p>Two clocks are used: plain seconds for regular arrivals, and seconds of activity, which run
 * slow in the quiet hours of the day, for the histogram of gaps. Not thread-safe.
 */
final class ArrivalHistory {

  private static final double FADING = 0.97;
  private static final double SESSION_GAP_SECONDS = 120;
  private static final double BURST_SECONDS = 10;
  private static final double SMOOTHING = 0.3;
  private static final double REGULAR_DEVIATION = 0.12;
  private static final int REGULAR_SESSIONS = 4;

  private final GapHistogram gaps = GapHistogram.create(FADING);
  private double lastSeconds = Double.NaN;
  private double lastActivity;
  private double sessionStart = Double.NaN;
  private double meanPeriod;
  private double deviation;
  private int sessions;
  private long counted;
  private double sessionSeconds = Double.NaN;
  private int sessionArrivals;
  private double burst = 1;

  /**
   * Notes an arrival.
   *
   * @param count number of requests that arrived together
   * @param seconds time in seconds
   * @param activity time in seconds of activity
   */
  void record(int count, double seconds, double activity) {
    countBurst(count, seconds);
    if (Double.isNaN(lastSeconds)) {
      sessionStart = seconds;
    } else {
      gaps.add(activity - lastActivity, 1);
      counted++;
      if (seconds - lastSeconds >= SESSION_GAP_SECONDS) {
        startSession(seconds);
      }
    }
    lastSeconds = seconds;
    lastActivity = activity;
  }

  /** Counts the requests that a cold start at the beginning of a session would have delayed. */
  private void countBurst(int count, double seconds) {
    if (Double.isNaN(lastSeconds) || seconds - lastSeconds >= SESSION_GAP_SECONDS) {
      if (sessionArrivals > 0) {
        burst += SMOOTHING * (sessionArrivals - burst);
      }
      sessionSeconds = seconds;
      sessionArrivals = 0;
    }
    if (seconds - sessionSeconds <= BURST_SECONDS) {
      sessionArrivals += count;
    }
  }

  private void startSession(double seconds) {
    double period = seconds - sessionStart;
    sessionStart = seconds;
    sessions++;
    if (sessions == 1) {
      meanPeriod = period;
      return;
    }
    double share = Math.max(SMOOTHING, 1.0 / (sessions - 1));
    deviation += share * (Math.abs(period - meanPeriod) - deviation);
    meanPeriod += share * (period - meanPeriod);
  }

  // Accessors

  /** Returns the gaps, in seconds of activity. */
  GapHistogram gaps() {
    return gaps;
  }

  /** Returns how many requests come together at the beginning of a session, 1 or more. */
  double burst() {
    return Math.max(1, Math.max(burst, sessionArrivals * SMOOTHING));
  }

  /** Returns the number of gaps counted. */
  long counted() {
    return counted;
  }

  /** Returns the last arrival, in seconds of activity. */
  double lastActivity() {
    return lastActivity;
  }

  /** Returns whether bursts of requests come at regular intervals. */
  boolean isRegular() {
    return sessions >= REGULAR_SESSIONS && deviation < REGULAR_DEVIATION * meanPeriod;
  }

  /** Returns when the next burst is expected, in plain seconds; only where regular. */
  double expectedSeconds() {
    return sessionStart + meanPeriod;
  }

  /** Returns by how much an expected burst may come early or late, in seconds. */
  double toleranceSeconds() {
    return Math.max(2 * deviation, 5);
  }
}
