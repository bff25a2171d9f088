package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The requests of one node that have not ended. Each of them is ended exactly once.
 *
 * <p>A response that was started is aborted; a request that may have been executed ends with an
 * unknown outcome; any other request is refused with a retry-after time.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class PendingForwardTable {

  /** Retry-after time for refusals that need only another node or a short wait. */
  static final Duration SHORT_RETRY_AFTER = Duration.ofMillis(500);

  private final Map<Long, PendingForward> pending = new LinkedHashMap<>();
  private final RunnerStateTable runnerStates;
  private final DemandCounter demandCounter;

  private final AllowanceGate allowanceGate;

  private PendingForwardTable(
      RunnerStateTable runnerStates, DemandCounter demandCounter, AllowanceGate allowanceGate) {
    this.runnerStates = runnerStates;
    this.demandCounter = demandCounter;
    this.allowanceGate = allowanceGate;
  }

  static PendingForwardTable create(
      RunnerStateTable runnerStates, DemandCounter demandCounter, AllowanceGate allowanceGate) {
    return new PendingForwardTable(runnerStates, demandCounter, allowanceGate);
  }

  void add(PendingForward forward) {
    pending.put(forward.exchange(), forward);
  }

  // Ending requests

  /**
   * Ends a request that cannot wait any longer.
   *
   * @param code result code if the request was not executed
   * @param retryAfter when the caller should retry if the request was not executed
   */
  void endWaiting(PendingForward forward, ResultCode code, Duration retryAfter, GatewayStep step) {
    endWaiting(forward, "no runner to continue with", code, retryAfter, step);
  }

  private void endWaiting(
      PendingForward forward,
      String reason,
      ResultCode code,
      Duration retryAfter,
      GatewayStep step) {
    if (forward.isUnexecuted()) {
      demandCounter.countRetry(forward, step.now().plus(retryAfter));
    }
    end(forward, reason, code, retryAfter, step);
  }

  /**
   * Ends a request whose response has not begun and that is known to crash runners. Its attempts
   * are cancelled, so that their runners may drop it before they begin to write.
   */
  void endCrashing(PendingForward forward, Duration retryAfter, GatewayStep step) {
    forward.markLiveMayHaveRun();
    cancelAttempts(forward, step);
    end(forward, "it crashes runners", ResultCode.CRASHING_REQUEST, retryAfter, step);
  }

  /** Ends a request that is not sent to a runner again. */
  void giveUp(PendingForward forward, String reason, GatewayStep step) {
    end(forward, reason, ResultCode.NO_CAPACITY, SHORT_RETRY_AFTER, step);
  }

  /** Ends a request that this node fails to send. */
  void giveUpAfterFault(PendingForward forward, String reason, GatewayStep step) {
    end(forward, reason, ResultCode.SENDING_FAILED, SHORT_RETRY_AFTER, step);
  }

  /**
   * Ends a request that is not at a runner.
   *
   * @param reason why its response is aborted, if it was started
   * @param code result code if the request was not executed
   * @param retryAfter when the caller should retry if the request was not executed
   */
  private void end(
      PendingForward forward,
      String reason,
      ResultCode code,
      Duration retryAfter,
      GatewayStep step) {
    if (forward.answerStarted()) {
      abort(forward, reason, step);
    } else if (forward.mayHaveRun()) {
      refuse(forward, ResultCode.OUTCOME_UNKNOWN, Optional.empty(), step);
    } else {
      giveBackCost(forward, step);
      refuse(forward, code, Optional.of(retryAfter), step);
    }
  }

  /** Ends a request whose deadline has passed; it may be at a runner. */
  void expire(PendingForward forward, GatewayStep step) {
    giveBackCost(forward, step);
    cancelAttempts(forward, step);
    if (forward.answerStarted()) {
      abort(forward, "the time limit passed", step);
    } else {
      refuse(forward, ResultCode.DEADLINE_PASSED, Optional.empty(), step);
    }
  }

  /**
   * Ends all requests because the process exits.
   *
   * @return the number of requests that were ended
   */
  int endAll(GatewayStep step) {
    List<PendingForward> remaining = List.copyOf(pending.values());
    for (PendingForward forward : remaining) {
      forward.markLiveMayHaveRun();
      cancelAttempts(forward, step);
      endWaiting(forward, "the node ends", ResultCode.DRAINING, DrainPlan.RETRY_AFTER, step);
    }
    return remaining.size();
  }

  /** Returns the cost of a request that has not run and is at no runner to its tenant. */
  void giveBackCost(PendingForward forward, GatewayStep step) {
    if (forward.isUnexecuted() && !forward.isLive()) {
      allowanceGate.giveBack(forward, step);
    }
  }

  /** Removes a request that was answered or whose caller disconnected. */
  void remove(PendingForward forward) {
    pending.remove(forward.exchange());
  }

  private void refuse(
      PendingForward forward, ResultCode code, Optional<Duration> retryAfter, GatewayStep step) {
    ForwardLog.refused(forward, code, retryAfter, runnerStates, step);
    pending.remove(forward.exchange());
    step.emit(new GatewayEffect.Refuse(forward.exchange(), code, retryAfter));
  }

  private void abort(PendingForward forward, String reason, GatewayStep step) {
    ForwardLog.aborted(forward, reason, step);
    pending.remove(forward.exchange());
    step.emit(new GatewayEffect.AbortAnswer(forward.exchange()));
  }

  // Runners

  /** Records that an attempt has ended and its request is no longer at the runner. */
  void endAttempt(PendingForward forward, LiveAttempt attempt) {
    runnerStates.requestEnded(
        attempt.runner().id(), forward.model(), forward.adapter(), forward.tokens());
    forward.endAttempt(attempt);
  }

  /** Cancels an attempt. */
  void cancel(PendingForward forward, LiveAttempt attempt, GatewayStep step) {
    endAttempt(forward, attempt);
    runnerStates.health(attempt.runner().id()).releaseProbe();
    step.emit(new GatewayEffect.CancelAttempt(forward.exchange(), attempt.number()));
  }

  /** Cancels all live attempts of a request. */
  void cancelAttempts(PendingForward forward, GatewayStep step) {
    forward.live().forEach(attempt -> cancel(forward, attempt, step));
  }

  // Accessors

  Optional<PendingForward> get(long exchange) {
    return Optional.ofNullable(pending.get(exchange));
  }

  /** Returns all requests that have not ended, in order of arrival. */
  List<PendingForward> all() {
    return List.copyOf(pending.values());
  }

  /** Returns the requests that wait for the decision on their costs, in order of arrival. */
  List<PendingForward> waitingForAllowance() {
    return pending.values().stream()
        .filter(forward -> forward.allowanceWait().isPresent())
        .toList();
  }

  /** Returns whether a request waits for a runner. */
  boolean hasWaiting() {
    return pending.values().stream().anyMatch(PendingForward::waitsForRunner);
  }

  int size() {
    return pending.size();
  }
}
