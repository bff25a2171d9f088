package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.fleet.RunnerView;
import java.time.Duration;
import java.time.Instant;

/**
 * What one node has observed of the load and the pace of one run of a runner.
 *
 * <p>Load: the coordinator's figures are 0.3 to 1 s old and include requests of this node that have
 * ended since. This class remembers which requests of this node a figure includes, so that they can
 * be counted exactly and only those of other nodes are estimated.
 *
 * <p>Not thread-safe.
 */
public final class RunnerLoad {

  /**
   * Time to read a prompt token, in milliseconds: 10,000 tokens per second. Only ratios between
   * runners count, so the true rate of the engines need not be known.
   */
  private static final double READ_MILLIS = 0.1;

  /** Time to the first event apart from reading the prompt: one step of the engine and the way. */
  private static final double FIRST_STEP_MILLIS = 20;

  /** Duration for which a runner counts as full after the first rejection. */
  private static final Duration FIRST_FULL = Duration.ofMillis(100);

  /** Maximum duration for which a runner counts as full: about the interval of two views. */
  private static final Duration MAX_FULL = Duration.ofMillis(800);

  /** Time in which the share of requests that a new runner gets grows to the full share. */
  private static final Duration RAMP = Duration.ofSeconds(1);

  /** Smallest share of its free capacity that a new runner counts with, so that it is tried. */
  private static final double MIN_RAMP = 0.1;

  /**
   * Age of a report of this node from which the coordinator's next view includes it: the way there
   * and back.
   */
  private static final Duration REPORT_TRAVEL = Duration.ofMillis(50);

  /** Weight of the newest observation in the pace. */
  private static final double NEWEST_WEIGHT = 0.2;

  /** Number of observations that the assumption of a pace of 1 weighs. */
  private static final double PRIOR_SAMPLES = 2;

  /**
   * Largest ratio that counts, so that one request that waited long at a runner decides nothing.
   */
  static final double MAX_RATIO = 100;

  private static final double MIN_PACE = 0.25;
  private static final double MAX_PACE = 4;

  private final long bornMillis;
  private final Instant firstSeenAt;
  private int othersRunning;
  private int reported;
  private int reportedBefore;
  private int ownInView;
  private Instant fullUntil = Instant.MIN;
  private Duration nextFull = FIRST_FULL;
  private double paceSum;
  private double paceWeight;

  private RunnerLoad(long bornMillis, Instant firstSeenAt) {
    this.bornMillis = bornMillis;
    this.firstSeenAt = firstSeenAt;
  }

  /** Creates the load of a run of a runner that is seen for the first time. */
  static RunnerLoad create(long bornMillis, Instant now) {
    return new RunnerLoad(bornMillis, now);
  }

  // Updates

  /** Records that the requests of this node at the runner are reported to the coordinator. */
  void recordReport(int running) {
    reportedBefore = reported;
    reported = running;
  }

  /**
   * Records a newer view.
   *
   * @param reportAge time since this node's last report
   */
  void accept(RunnerView view, Duration reportAge) {
    boolean included = reportAge.compareTo(REPORT_TRAVEL) >= 0;
    ownInView = included ? reported : reportedBefore;
    othersRunning = Math.max(0, view.running() - ownInView);
    fullUntil = Instant.MIN;
  }

  /** Records that the runner rejected a request of this node as it was full. */
  void recordRejection(Instant now) {
    fullUntil = now.plus(nextFull);
    Duration doubled = nextFull.multipliedBy(2);
    nextFull = doubled.compareTo(MAX_FULL) < 0 ? doubled : MAX_FULL;
  }

  /** Records that the runner accepted a request of this node. */
  void recordAcceptance() {
    fullUntil = Instant.MIN;
    nextFull = FIRST_FULL;
  }

  /** Returns the expected time to the first event on a runner of pace 1, in milliseconds. */
  static double expectedMillis(int promptTokens) {
    return FIRST_STEP_MILLIS + READ_MILLIS * promptTokens;
  }

  /** Records the ratio of the observed to the expected time to the first event. */
  void recordPace(double ratio) {
    double weighed = Math.min(ratio, MAX_RATIO);
    paceSum = paceSum * (1 - NEWEST_WEIGHT) + weighed;
    paceWeight = paceWeight * (1 - NEWEST_WEIGHT) + 1;
  }

  // Accessors

  long bornMillis() {
    return bornMillis;
  }

  /** Returns whether the runner counts as full because it rejected a request. */
  public boolean isFull(Instant now) {
    return now.isBefore(fullUntil);
  }

  /** Returns the number of requests of other nodes in the newest view. */
  public int othersRunning() {
    return othersRunning;
  }

  /** Returns the number of requests of this node that the newest view includes. */
  public int ownInView() {
    return ownInView;
  }

  /** Returns the share of its free capacity that a runner counts with, below 1 while it is new. */
  public double ramp(Instant now) {
    if (!now.isBefore(firstSeenAt.plus(RAMP))) {
      return 1;
    }
    double age = Duration.between(firstSeenAt, now).toMillis();
    return Math.max(MIN_RAMP, age / RAMP.toMillis());
  }

  /**
   * Returns how many times as long as expected the runner takes; 1 without observations.
   *
   * @param usual the ratio over all runners
   */
  public double pace(double usual) {
    if (paceWeight == 0 || usual <= 0) {
      return 1;
    }
    double relative = (paceSum / usual + PRIOR_SAMPLES) / (paceWeight + PRIOR_SAMPLES);
    return Math.clamp(relative, MIN_PACE, MAX_PACE);
  }
}
