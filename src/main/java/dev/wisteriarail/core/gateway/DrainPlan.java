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
  static final Duration RETURN = Duration.ofMillis(50);

  /** Time after a stop request in which the balancer notices and sends no more callers. */
  private static final Duration BALANCER_NOTICE = Duration.ofMillis(2500);

  /** Time before the end of the process from which nothing is taken, however short it is. */
  private static final Duration LAST_ANSWERS = Duration.ofMillis(800);

  /** Pause between two closings of callers' idle connections. */
  private static final Duration CLOSE_PAUSE = Duration.ofMillis(200);

  /** Part of the grace after a stop request that is kept for the end of the process itself. */
  private static final Duration EXIT_RESERVE = Duration.ofMillis(800);

  private Duration grace;
  private Instant since = Instant.MAX;
  private Instant nextClose = Instant.MAX;
  private boolean completed;

  private DrainPlan(Duration grace) {
    this.grace = grace;
  }

  /**
   * Returns the plan of a node that is not stopping.
   *
   * @param grace time after a stop request until the process has to end
   */
  static DrainPlan create(Duration grace) {
    return new DrainPlan(grace);
  }

  /** Changes the time after a stop request until the process has to end. */
  void setGrace(Duration newGrace) {
    grace = newGrace;
  }

  /** Begins the stop; returns whether it had not begun before. */
  boolean begin(Instant now) {
    if (isDraining()) {
      return false;
    }
    since = now;
    nextClose = now.plus(BALANCER_NOTICE);
    return true;
  }

  boolean isDraining() {
    return !since.equals(Instant.MAX);
  }

  /**
   * Returns whether a request cannot end before the process.
   *
   * @param needed time that it needs from now on
   */
  boolean refuses(Duration needed, Instant now) {
    if (completed) {
      return true;
    }
    Duration reserve = needed.compareTo(LAST_ANSWERS) > 0 ? needed : LAST_ANSWERS;
    return isDraining() && now.plus(reserve).isAfter(end());
  }

  /** Returns whether the process ends now, whatever is in flight. */
  boolean isOver(Instant now) {
    return isDraining() && !completed && !now.isBefore(end());
  }

  private Instant end() {
    return since.plus(grace).minus(EXIT_RESERVE);
  }

  /**
   * Closes idle connections, and ends the stop when nothing is in flight any more.
   *
   * @param inFlight requests that have not ended
   * @param endedLast requests that were ended because the process ends
   */
  void advance(int inFlight, int endedLast, GatewayStep step) {
    if (!isDraining() || completed) {
      return;
    }
    Instant now = step.now();
    if (!now.isBefore(nextClose)) {
      nextClose = now.plus(CLOSE_PAUSE);
      step.emit(new GatewayEffect.CloseIdleCallers());
    }
    boolean noticed = !now.isBefore(since.plus(BALANCER_NOTICE)) || isOver(now);
    if (noticed && inFlight == 0) {
      completed = true;
      step.log(
          EventCode.NODE_STOPPED,
          "after_ms",
          Duration.between(since, now).toMillis(),
          "ended_last",
          endedLast);
      step.emit(new GatewayEffect.DrainCompleted());
    }
  }
}
