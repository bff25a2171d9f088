package dev.wisteriarail.core.placement;

/**
 * Statistics of the request arrivals of one model, from which the next arrival is predicted.
 *
 * <p>Uses two clocks. The period of regular arrivals is measured in real time. The histogram of
 * gaps is measured in seconds of activity, on a clock that runs slower in the quiet hours of the
 * day. Not thread-safe.
 */
final class ArrivalHistory {

  private static final double GAP_DECAY = 0.97;
  private static final double SESSION_GAP_SECONDS = 120;
  private static final double BURST_SECONDS = 10;
  private static final double SMOOTHING = 0.3;
  private static final double MAX_RELATIVE_DEVIATION = 0.12;
  private static final int MIN_REGULAR_SESSIONS = 4;

  private final GapHistogram gaps = GapHistogram.create(GAP_DECAY);
  private double lastArrivalSeconds = Double.NaN;
  private double lastActivitySeconds;
  private double sessionStartSeconds = Double.NaN;
  private double meanPeriodSeconds;
  private double meanDeviation;
  private int sessionCount;
  private long gapCount;
  private double burstStartSeconds = Double.NaN;
  private int burstArrivals;
  private double burstSize = 1;

  /**
   * Records an arrival.
   *
   * @param count number of requests that arrived together
   * @param seconds time in seconds
   * @param activitySeconds time on the activity clock in seconds
   */
  void record(int count, double seconds, double activitySeconds) {
    updateBurst(count, seconds);
    if (Double.isNaN(lastArrivalSeconds)) {
      sessionStartSeconds = seconds;
    } else {
      gaps.add(activitySeconds - lastActivitySeconds, 1);
      gapCount++;
      if (seconds - lastArrivalSeconds >= SESSION_GAP_SECONDS) {
        startSession(seconds);
      }
    }
    lastArrivalSeconds = seconds;
    lastActivitySeconds = activitySeconds;
  }

  /** Counts the requests that a cold start at the beginning of the session would have delayed. */
  private void updateBurst(int count, double seconds) {
    if (Double.isNaN(lastArrivalSeconds) || seconds - lastArrivalSeconds >= SESSION_GAP_SECONDS) {
      if (burstArrivals > 0) {
        burstSize += SMOOTHING * (burstArrivals - burstSize);
      }
      burstStartSeconds = seconds;
      burstArrivals = 0;
    }
    if (seconds - burstStartSeconds <= BURST_SECONDS) {
      burstArrivals += count;
    }
  }

  private void startSession(double seconds) {
    double period = seconds - sessionStartSeconds;
    sessionStartSeconds = seconds;
    sessionCount++;
    if (sessionCount == 1) {
      meanPeriodSeconds = period;
      return;
    }
    double smoothing = Math.max(SMOOTHING, 1.0 / (sessionCount - 1));
    meanDeviation += smoothing * (Math.abs(period - meanPeriodSeconds) - meanDeviation);
    meanPeriodSeconds += smoothing * (period - meanPeriodSeconds);
  }

  // Accessors

  /** Returns the histogram of gaps between arrivals, in seconds of activity. */
  GapHistogram gaps() {
    return gaps;
  }

  /** Returns the expected number of requests at the beginning of a session; at least 1. */
  double burstSize() {
    return Math.max(1, Math.max(burstSize, burstArrivals * SMOOTHING));
  }

  /** Returns the number of recorded gaps. */
  long gapCount() {
    return gapCount;
  }

  /** Returns the time of the last arrival, in seconds of activity. */
  double lastActivitySeconds() {
    return lastActivitySeconds;
  }

  /** Returns whether sessions of requests begin at regular intervals. */
  boolean isRegular() {
    return sessionCount >= MIN_REGULAR_SESSIONS
        && meanDeviation < MAX_RELATIVE_DEVIATION * meanPeriodSeconds;
  }

  /**
   * Returns when the next session is expected to begin, in seconds of real time. Meaningful only if
   * {@link #isRegular()}.
   */
  double nextSessionSeconds() {
    return sessionStartSeconds + meanPeriodSeconds;
  }

  /** Returns by how much an expected session may begin early or late, in seconds. */
  double toleranceSeconds() {
    return Math.max(2 * meanDeviation, 5);
  }
}
