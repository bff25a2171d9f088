package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.RunnerBoard;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The requests of one node that have not ended, and the ways in which they end, each exactly once.
 *
 * <p>An answer that has begun is cut; a request that may have run ends with an unknown outcome; any
 * other one is refused with the time to come back.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class ForwardEnds {

  /** Time to come back after a refusal that only needs another node or a moment. */
  static final Duration SHORT_RETURN = Duration.ofMillis(500);

  private final Map<Long, PendingForward> pending = new LinkedHashMap<>();
  private final RunnerBoard board;
  private final DemandTally tally;

  private ForwardEnds(RunnerBoard board, DemandTally tally) {
    this.board = board;
    this.tally = tally;
  }

  static ForwardEnds create(RunnerBoard board, DemandTally tally) {
    return new ForwardEnds(board, tally);
  }

  void add(PendingForward forward) {
    pending.put(forward.exchange(), forward);
  }

  // Ends

  /**
   * Ends a request whose wait is over.
   *
   * @param code why, if it has not run
   * @param returnAfter when its caller should come back, if it has not run
   */
  void endWaiting(PendingForward forward, ResultCode code, Duration returnAfter, GatewayStep step) {
    endWaiting(forward, "no runner to go on with", code, returnAfter, step);
  }

  private void endWaiting(
      PendingForward forward,
      String reason,
      ResultCode code,
      Duration returnAfter,
      GatewayStep step) {
    if (forward.isUntouched()) {
      tally.countReturn(forward, step.now().plus(returnAfter));
    }
    end(forward, reason, code, returnAfter, step);
  }

  /** Ends a request that no runner is asked for again. */
  void giveUp(PendingForward forward, String reason, GatewayStep step) {
    end(forward, reason, ResultCode.NO_CAPACITY, SHORT_RETURN, step);
  }

  /**
   * Ends a request that no runner has.
   *
   * @param reason why, if its answer has begun
   * @param code why, if it has not run
   */
  private void end(
      PendingForward forward,
      String reason,
      ResultCode code,
      Duration returnAfter,
      GatewayStep step) {
    if (forward.answerBegun()) {
      cut(forward, reason, step);
    } else if (forward.mayHaveRun()) {
      refuse(forward, ResultCode.OUTCOME_UNKNOWN, Optional.empty(), step);
    } else {
      refuse(forward, code, Optional.of(returnAfter), step);
    }
  }

  /** Ends a request whose time is over; a runner may have it. */
  void expire(PendingForward forward, GatewayStep step) {
    release(forward, step);
    if (forward.answerBegun()) {
      cut(forward, "the time limit passed", step);
    } else {
      refuse(forward, ResultCode.DEADLINE_PASSED, Optional.empty(), step);
    }
  }

  /**
   * Ends every request, as the process ends.
   *
   * @return how many there were
   */
  int endAll(GatewayStep step) {
    List<PendingForward> left = List.copyOf(pending.values());
    for (PendingForward forward : left) {
      if (forward.state() != PendingForward.State.WAITING) {
        forward.markMayHaveRun();
      }
      release(forward, step);
      endWaiting(forward, "the node ends", ResultCode.DRAINING, DrainPlan.RETURN, step);
    }
    return left.size();
  }

  /** Takes a request's answer, or its caller's leaving, for its end. */
  void remove(PendingForward forward) {
    pending.remove(forward.exchange());
  }

  private void refuse(
      PendingForward forward, ResultCode code, Optional<Duration> returnAfter, GatewayStep step) {
    ForwardLog.refused(forward, code, returnAfter, board, step);
    pending.remove(forward.exchange());
    step.emit(new GatewayEffect.Refuse(forward.exchange(), code, returnAfter));
  }

  private void cut(PendingForward forward, String reason, GatewayStep step) {
    ForwardLog.cut(forward, reason, step);
    pending.remove(forward.exchange());
    step.emit(new GatewayEffect.CutAnswer(forward.exchange()));
  }

  // Runners

  /** Notes that a request left its runner. */
  void leave(PendingForward forward, RunnerEntry runner) {
    board.end(runner.id(), forward.model(), forward.adapter(), forward.tokens());
  }

  /** Takes a request from its runner, if one has it. */
  void release(PendingForward forward, GatewayStep step) {
    if (forward.state() != PendingForward.State.WAITING) {
      RunnerEntry runner = forward.runner().orElseThrow();
      leave(forward, runner);
      board.health(runner.id()).release();
      step.emit(new GatewayEffect.CancelAttempt(forward.exchange(), forward.attempts()));
    }
  }

  // Accessors

  Optional<PendingForward> get(long exchange) {
    return Optional.ofNullable(pending.get(exchange));
  }

  /** Returns all requests that have not ended, in the order of their arrival. */
  List<PendingForward> all() {
    return List.copyOf(pending.values());
  }

  /** Returns whether a request waits for a runner. */
  boolean hasWaiting() {
    return pending.values().stream()
        .anyMatch(forward -> forward.state() == PendingForward.State.WAITING);
  }

  int size() {
    return pending.size();
  }
}
