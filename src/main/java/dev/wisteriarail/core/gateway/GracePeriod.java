package dev.wisteriarail.core.gateway;

import java.time.Duration;

/**
 * Time from a stop request until the process must have exited, and the times of a graceful shutdown
 * that depend on it.
 *
 * <p>All times have a maximum, which applies to long periods, and are shorter in a short one: a
 * reserve that takes a large part of the period would end requests that could still complete.
 *
 * @param length length of the period
 */
public record GracePeriod(Duration length) {

  /** Maximum of the part that is reserved for the exit of the process itself. */
  private static final Duration MAX_EXIT_RESERVE = Duration.ofMillis(800);

  /** Divisor of the period for its reserve; the node then works into the last sixth of it. */
  private static final int EXIT_RESERVE_DIVISOR = 8;

  /** Maximum of the part of the exit reserve in which requests that still arrive are refused. */
  private static final Duration MAX_FINAL_REFUSAL_TIME = Duration.ofMillis(250);

  /** Maximum of the part of the exit reserve in which the node closes. */
  private static final Duration MAX_CLOSE_TIME = Duration.ofMillis(300);

  /** Maximum of the time that a report of a runner needs to arrive. */
  private static final Duration MAX_RUNNER_REPORT_RESERVE = Duration.ofMillis(150);

  /** Length from which the times before the exit reserve are the longest. */
  private static final Duration FULL_LENGTH = Duration.ofSeconds(4);

  private static final Duration MAX_BALANCER_NOTICE_TIME = Duration.ofMillis(2500);
  private static final Duration MAX_ESTIMATE_CUTOFF = Duration.ofMillis(2800);
  private static final Duration MAX_MIN_TIME_BEFORE_EXIT = Duration.ofMillis(800);

  /** Returns the part of the period that is reserved for the exit of the process itself. */
  Duration exitReserve() {
    Duration share = length.dividedBy(EXIT_RESERVE_DIVISOR);
    return share.compareTo(MAX_EXIT_RESERVE) < 0 ? share : MAX_EXIT_RESERVE;
  }

  /**
   * Returns the time after the stop request from which requests that still arrive are refused. The
   * core has ended all requests before.
   */
  public Duration finalRefusalStart() {
    return length.minus(closeTime()).minus(finalRefusalTime());
  }

  /**
   * Returns the time during which requests that still arrive are refused before the node closes.
   */
  public Duration finalRefusalTime() {
    return partOfReserve(MAX_FINAL_REFUSAL_TIME);
  }

  /** Returns the time that is reserved for closing. */
  Duration closeTime() {
    return partOfReserve(MAX_CLOSE_TIME);
  }

  /**
   * Returns the time before the end of the requests at which runners report the requests that they
   * have not begun. It is in the last sixth of the period, because runners stop working then.
   */
  Duration runnerReportReserve() {
    return partOfReserve(MAX_RUNNER_REPORT_RESERVE);
  }

  /**
   * Returns the time after the stop request until the load balancer sends no more callers to this
   * node.
   */
  Duration balancerNoticeTime() {
    return shortened(MAX_BALANCER_NOTICE_TIME);
  }

  /**
   * Returns the time after the stop request from which a request needs a time limit that passes
   * before the process exits, and from which no stream is accepted. By then the load balancer sends
   * callers elsewhere.
   */
  Duration estimateCutoff() {
    return shortened(MAX_ESTIMATE_CUTOFF);
  }

  /**
   * Returns the time before the process exits in which no request is accepted, however short it is.
   */
  Duration minTimeBeforeExit() {
    return shortened(MAX_MIN_TIME_BEFORE_EXIT);
  }

  private Duration partOfReserve(Duration maximum) {
    return scaled(maximum, exitReserve(), MAX_EXIT_RESERVE);
  }

  private Duration shortened(Duration maximum) {
    return length.compareTo(FULL_LENGTH) < 0 ? scaled(maximum, length, FULL_LENGTH) : maximum;
  }

  private static Duration scaled(Duration time, Duration numerator, Duration denominator) {
    return Duration.ofNanos(
        Math.round((double) time.toNanos() * numerator.toNanos() / denominator.toNanos()));
  }
}
