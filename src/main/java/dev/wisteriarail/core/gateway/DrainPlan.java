package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import java.time.Duration;
import java.time.Instant;

/**
 * Schedule of a graceful shutdown: which requests are still accepted, when idle connections are
 * closed and when the process exits.
 *
 * <p>Nodes are restarted one after the other under full traffic. Callers keep their connections and
 * send on them until the load balancer reacts or the connections are closed. A draining node
 * accepts only requests that can complete before it exits; another node can serve the others.
 *
 * <p>While the load balancer still sends callers to this node, the expected time of a request
 * decides. After that, few requests arrive, and a refusal costs them less than the end of the
 * process would, so only the time limit of a request decides: the node ends it by then.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class DrainPlan {

  /** Retry-after time for a request that a draining node refused; another node can serve it. */
  static final Duration RETRY_AFTER = Duration.ofMillis(50);

  /** Interval at which idle connections of callers are closed. */
  private static final Duration IDLE_CLOSE_INTERVAL = Duration.ofMillis(200);

  private GracePeriod gracePeriod;
  private Instant startedAt = Instant.MAX;
  private Instant nextIdleClose = Instant.MAX;
  private boolean completed;

  private DrainPlan(GracePeriod gracePeriod) {
    this.gracePeriod = gracePeriod;
  }

  /**
   * Creates the plan of a node that is not draining.
   *
   * @param gracePeriod time after a stop request until the process must have exited
   */
  static DrainPlan create(Duration gracePeriod) {
    return new DrainPlan(new GracePeriod(gracePeriod));
  }

  /** Changes the grace period, unless the node is already draining. */
  void setGracePeriod(Duration newGracePeriod) {
    if (!isDraining()) {
      gracePeriod = new GracePeriod(newGracePeriod);
    }
  }

  /** Starts draining. Returns false if the node was already draining. */
  boolean begin(Instant now) {
    if (isDraining()) {
      return false;
    }
    startedAt = now;
    nextIdleClose = now.plus(gracePeriod.balancerNoticeTime());
    return true;
  }

  boolean isDraining() {
    return !startedAt.equals(Instant.MAX);
  }

  /** Returns whether only requests are accepted that end before the process exits in any case. */
  boolean requiresCertainty(Instant now) {
    return isDraining() && now.isAfter(startedAt.plus(gracePeriod.estimateCutoff()));
  }

  /**
   * Returns whether a request that arrives or waits now is refused.
   *
   * @param stream whether the response is a stream
   * @param expected time that the request is expected to need from now on
   * @param limit time from now on after which the request ends in any case
   */
  boolean refuses(boolean stream, Duration expected, Duration limit, Instant now) {
    if (completed) {
      return true;
    }
    return requiresCertainty(now) ? stream || isTooLong(limit, now) : isTooLong(expected, now);
  }

  private boolean isTooLong(Duration needed, Instant now) {
    Duration minimum = gracePeriod.minTimeBeforeExit();
    Duration reserve = needed.compareTo(minimum) > 0 ? needed : minimum;
    return isDraining() && now.plus(reserve).isAfter(deadline());
  }

  /**
   * Returns the time for which a runner may work on a request that is sent to it now.
   *
   * <p>Only a runner knows whether a request has left its queue, and it reports this once that time
   * is over. A request that could outlast this node gets less time, so that the report arrives
   * while the node can still pass it on.
   *
   * @param timeLeft time until the deadline of the request
   */
  Duration runnerTime(Duration timeLeft, Instant now) {
    if (!isDraining() || !now.plus(timeLeft).isAfter(deadline())) {
      return timeLeft;
    }
    Duration untilReport = Duration.between(now, runnerReportTime());
    return untilReport.isNegative() ? Duration.ZERO : untilReport;
  }

  /** Returns whether it is too late to send a request to a runner. */
  boolean isTooLateToSend(Instant now) {
    return isDraining() && !now.isBefore(runnerReportTime());
  }

  private Instant runnerReportTime() {
    return deadline().minus(gracePeriod.runnerReportReserve());
  }

  /** Returns whether the process has to exit now, even with requests in flight. */
  boolean isDeadlineReached(Instant now) {
    return isDraining() && !completed && !now.isBefore(deadline());
  }

  private Instant deadline() {
    return startedAt.plus(gracePeriod.length()).minus(gracePeriod.exitReserve());
  }

  /**
   * Closes idle connections at intervals and completes the drain once no request is in flight.
   *
   * @param inFlight requests that have not completed
   * @param endedAtDeadline requests that were ended because the process has to exit
   */
  void advance(int inFlight, int endedAtDeadline, GatewayStep step) {
    if (!isDraining() || completed) {
      return;
    }
    Instant now = step.now();
    if (!now.isBefore(nextIdleClose)) {
      nextIdleClose = now.plus(IDLE_CLOSE_INTERVAL);
      step.emit(new GatewayEffect.CloseIdleCallers());
    }
    boolean balancerNoticed =
        !now.isBefore(startedAt.plus(gracePeriod.balancerNoticeTime())) || isDeadlineReached(now);
    if (balancerNoticed && inFlight == 0) {
      completed = true;
      step.log(
          EventCode.NODE_STOPPED,
          "after_ms",
          Duration.between(startedAt, now).toMillis(),
          "ended_last",
          endedAtDeadline);
      step.emit(new GatewayEffect.DrainCompleted());
    }
  }
}
