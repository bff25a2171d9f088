package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import java.time.Duration;
import java.time.Instant;

/**
 * A graceful stop: what is still taken, when idle connections are closed, and when the process
 * ends.
 *
 * <p>The load that it answers: nodes are stopped one after the other under full traffic. Callers
 * keep their connections and go on sending until the balancer and the closed connections tell them;
 * a stream that begins late might be cut by the end of the process, and another node can take it.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class DrainPlan {

  /** Time to come back to another node after the refusal of a node that stops. */
  static final Duration RETURN = Duration.ofMillis(50);

  /** Time after a stop request in which the balancer notices and sends no more callers. */
  private static final Duration BALANCER_NOTICE = Duration.ofMillis(2500);

  /** Time after a stop request from which new streams are refused: they take some seconds. */
  private static final Duration LATEST_STREAM = Duration.ofMillis(2800);

  /** Time before the end of the process from which nothing new is taken: a plain answer's time. */
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

  /** Returns whether a request comes too late to be taken. */
  boolean refuses(boolean stream, Instant now) {
    if (completed) {
      return true;
    }
    Duration limit = stream ? LATEST_STREAM : grace.minus(EXIT_RESERVE).minus(LAST_ANSWERS);
    return isDraining() && Duration.between(since, now).compareTo(limit) > 0;
  }

  /** Closes idle connections and ends the stop when its time has come. */
  void advance(int inFlight, GatewayStep step) {
    if (!isDraining() || completed) {
      return;
    }
    Instant now = step.now();
    if (!now.isBefore(nextClose)) {
      nextClose = now.plus(CLOSE_PAUSE);
      step.emit(new GatewayEffect.CloseIdleCallers());
    }
    boolean empty = !now.isBefore(since.plus(BALANCER_NOTICE)) && inFlight == 0;
    boolean late = !now.isBefore(since.plus(grace).minus(EXIT_RESERVE));
    if (empty || late) {
      completed = true;
      step.log(EventCode.NODE_STOPPED, "in_flight", inFlight);
      step.emit(new GatewayEffect.DrainCompleted());
    }
  }
}
