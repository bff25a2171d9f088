package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import java.time.Duration;
import java.time.Instant;

/**
 * A graceful stop: what is still taken, when idle connections are closed, and when the process
 * ends.
 *
 * <p>The load that it answers: nodes are stopped one after the other under full traffic. Callers
 * keep their connections and go on sending until the balancer and the closed connections tell them.
 * A node takes only what can end before it does, since another node can take the rest.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class DrainPlan {

  /** Time to come back to another node after the refusal of a node that stops. */
  static final Duration RETRY_AFTER = Duration.ofMillis(50);

  /** Time after a stop request in which the balancer notices and sends no more callers. */
  private static final Duration BALANCER_NOTICE_TIME = Duration.ofMillis(2500);

  /**
   * Time after a stop request from which no new stream is taken: by then the balancer sends callers
   * elsewhere, and the time that streams are expected to take is exceeded by one in ten.
   */
  private static final Duration STREAM_CUTOFF = Duration.ofMillis(2800);

  /** Time before the end of the process from which nothing is taken, however short it is. */
  private static final Duration MIN_TIME_BEFORE_EXIT = Duration.ofMillis(800);

  /** Pause between two closings of callers' idle connections. */
  private static final Duration IDLE_CLOSE_INTERVAL = Duration.ofMillis(200);

  /** Part of the grace after a stop request that is kept for the end of the process itself. */
  private static final Duration EXIT_RESERVE = Duration.ofMillis(800);

  private Duration gracePeriod;
  private Instant startedAt = Instant.MAX;
  private Instant nextIdleClose = Instant.MAX;
  private boolean completed;

  private DrainPlan(Duration gracePeriod) {
    this.gracePeriod = gracePeriod;
  }

  /**
   * Returns the plan of a node that is not stopping.
   *
   * @param gracePeriod time after a stop request until the process has to end
   */
  static DrainPlan create(Duration gracePeriod) {
    return new DrainPlan(gracePeriod);
  }

  /** Changes the time after a stop request until the process has to end, for later requests. */
  void setGracePeriod(Duration newGracePeriod) {
    if (!isDraining()) {
      gracePeriod = newGracePeriod;
    }
  }

  /** Begins the stop; returns whether it had not begun before. */
  boolean begin(Instant now) {
    if (isDraining()) {
      return false;
    }
    startedAt = now;
    nextIdleClose = now.plus(BALANCER_NOTICE_TIME);
    return true;
  }

  boolean isDraining() {
    return !startedAt.equals(Instant.MAX);
  }

  /**
   * Returns whether a request that comes now is not taken.
   *
   * @param stream whether its answer is a stream
   * @param needed time that it needs from now on
   */
  boolean refuses(boolean stream, Duration needed, Instant now) {
    boolean afterStreamCutoff = isDraining() && now.isAfter(startedAt.plus(STREAM_CUTOFF));
    return completed || (stream && afterStreamCutoff) || cannotComplete(needed, now);
  }

  /**
   * Returns whether a request cannot end before the process.
   *
   * @param needed time that it needs from now on
   */
  boolean cannotComplete(Duration needed, Instant now) {
    Duration reserve = needed.compareTo(MIN_TIME_BEFORE_EXIT) > 0 ? needed : MIN_TIME_BEFORE_EXIT;
    return isDraining() && now.plus(reserve).isAfter(deadline());
  }

  /** Returns whether the process ends now, whatever is in flight. */
  boolean isDeadlineReached(Instant now) {
    return isDraining() && !completed && !now.isBefore(deadline());
  }

  private Instant deadline() {
    return startedAt.plus(gracePeriod).minus(EXIT_RESERVE);
  }

  /**
   * Closes idle connections, and ends the stop when nothing is in flight any more.
   *
   * @param inFlight requests that have not ended
   * @param endedAtDeadline requests that were ended because the process ends
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
        !now.isBefore(startedAt.plus(BALANCER_NOTICE_TIME)) || isDeadlineReached(now);
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
