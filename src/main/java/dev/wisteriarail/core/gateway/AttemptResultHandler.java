package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.forward.RunnerHealth;
import dev.wisteriarail.core.forward.RunnerStateTable;
import java.time.Duration;

/**
 * Handles the progress and the results of attempts.
 *
 * <p>While another attempt of the request is live, the end of one does not end the request. The
 * first attempt that gets further than the others ends them.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class AttemptResultHandler {

  /**
   * Delay after the first rejection by a runner that is full or changing its models. It doubles
   * with each further rejection, so that the last retry comes after the slowest of the runner's
   * reports.
   */
  private static final Duration REJECTION_PAUSE = Duration.ofMillis(60);

  /**
   * Minimum delay after a failed attempt while another one is live. A silent runner mostly goes on
   * within it, and the retry budget is left to requests without a live attempt.
   */
  private static final Duration MIN_PAUSE_BESIDE_LIVE_ATTEMPT = Duration.ofMillis(300);

  private static final int STATUS_MISDIRECTED = 421;
  private static final int STATUS_SERVER_ERROR = 500;

  private final RunnerStateTable runnerStates;
  private final RunnerPicker picker;
  private final CrashGuard crashGuard;
  private final PendingForwardTable pending;
  private final CompletionEstimator completionEstimator;
  private final AttemptSender sender;

  private AttemptResultHandler(
      RunnerStateTable runnerStates,
      RunnerPicker picker,
      CrashGuard crashGuard,
      PendingForwardTable pending,
      CompletionEstimator completionEstimator,
      AttemptSender sender) {
    this.runnerStates = runnerStates;
    this.picker = picker;
    this.crashGuard = crashGuard;
    this.pending = pending;
    this.completionEstimator = completionEstimator;
    this.sender = sender;
  }

  static AttemptResultHandler create(
      RunnerStateTable runnerStates,
      RunnerPicker picker,
      CrashGuard crashGuard,
      PendingForwardTable pending,
      CompletionEstimator completionEstimator,
      AttemptSender sender) {
    return new AttemptResultHandler(
        runnerStates, picker, crashGuard, pending, completionEstimator, sender);
  }

  /** Handles the progress or the result of an attempt; ignored if the attempt has ended. */
  void accept(GatewayEvent.AttemptUpdated update, GatewayStep step) {
    pending
        .get(update.exchange())
        .ifPresent(
            forward ->
                forward
                    .live(update.attempt())
                    .ifPresent(
                        attempt -> {
                          recordEvidence(forward, attempt, update.result(), step);
                          apply(forward, attempt, update.result(), step);
                        }));
  }

  /** Records the evidence in a result of crashes of runners and of requests that cause them. */
  private void recordEvidence(
      PendingForward forward, LiveAttempt attempt, AttemptResult result, GatewayStep step) {
    switch (result) {
      case AttemptResult.Started started ->
          crashGuard.recordSignOfLife(attempt.runner(), attempt.sentAt(), step);
      case AttemptResult.Finished finished -> {
        crashGuard.recordSignOfLife(attempt.runner(), attempt.sentAt(), step);
        crashGuard.recordCompleteResponse(forward, step);
      }
      case AttemptResult.Progressed progressed ->
          crashGuard.recordSignOfLife(attempt.runner(), attempt.sentAt(), step);
      case AttemptResult.Prevailed prevailed ->
          crashGuard.recordSignOfLife(attempt.runner(), attempt.sentAt(), step);
      case AttemptResult.Answered answered ->
          crashGuard.recordSignOfLife(attempt.runner(), attempt.sentAt(), step);
      case AttemptResult.Paused paused -> {}
      case AttemptResult.Resumed resumed -> {}
      case AttemptResult.NotSent notSent -> {}
      case AttemptResult.LocalFault fault -> {}
      case AttemptResult.Broken broken -> {
        if (broken.connectionLost()) {
          crashGuard.recordLoss(forward, attempt, step);
        }
      }
    }
  }

  private void apply(
      PendingForward forward, LiveAttempt attempt, AttemptResult result, GatewayStep step) {
    RunnerEntry runner = attempt.runner();
    RunnerHealth health = runnerStates.health(runner.id());
    switch (result) {
      case AttemptResult.Started started -> {
        health.recordSuccess();
        recordStart(forward, attempt, step);
        forward.markMayHaveRun(runner);
        if (!attempt.equals(forward.live().getFirst())) {
          prevail(forward, attempt, attempt.number(), step);
        }
        forward.markStarted(step.now());
      }
      case AttemptResult.Progressed progressed -> {
        health.recordProgress();
        forward.markProgress(step.now());
      }
      case AttemptResult.Prevailed prevailed -> {
        health.recordProgress();
        forward.markProgress(step.now());
        prevail(forward, attempt, prevailed.over(), step);
      }
      case AttemptResult.Paused paused -> forward.pause(attempt);
      case AttemptResult.Resumed resumed -> forward.resume(attempt, step.now());
      case AttemptResult.Finished finished -> {
        prevail(forward, attempt, forward.attempts(), step);
        pending.endAttempt(forward, attempt);
        health.recordSuccess();
        runnerStates.recordAcceptance(runner);
        completionEstimator.recordEnd(forward, step.now());
        ForwardLog.answered(forward, runner, finished.status(), step);
        pending.remove(forward);
      }
      case AttemptResult.Answered answered -> {
        pending.endAttempt(forward, attempt);
        acceptFailure(forward, attempt, answered, step);
      }
      case AttemptResult.NotSent notSent -> {
        pending.endAttempt(forward, attempt);
        forward.markRejected();
        recordFailure(runner, notSent.reason(), true, step);
        goOnOrEnd(forward, attempt, notSent.reason(), true, step);
      }
      case AttemptResult.LocalFault fault -> {
        pending.endAttempt(forward, attempt);
        acceptFault(forward, attempt, fault, step);
      }
      case AttemptResult.Broken broken -> {
        pending.endAttempt(forward, attempt);
        forward.markMayHaveRun(runner);
        forward.updateLastEvent(broken.lastEvent());
        recordFailure(runner, broken.reason(), false, step);
        goOnOrEnd(forward, attempt, broken.reason(), false, step);
      }
    }
  }

  private void recordStart(PendingForward forward, LiveAttempt attempt, GatewayStep step) {
    runnerStates.recordAcceptance(attempt.runner());
    if (forward.route().streaming() && !forward.model().isEmpty()) {
      runnerStates.recordFirstEvent(
          attempt.runner(),
          forward.request().promptTokens(),
          Duration.between(attempt.sentAt(), step.now()));
    }
  }

  /**
   * Cancels the attempts that a more successful one has overtaken. A runner whose silence was the
   * reason for the successful attempt counts as failed.
   *
   * @param newest number of the newest attempt to cancel
   */
  private void prevail(PendingForward forward, LiveAttempt winner, int newest, GatewayStep step) {
    for (LiveAttempt other : forward.live()) {
      if (other.number() <= newest && !other.equals(winner)) {
        forward.markMayHaveRun(other.runner());
        pending.cancel(forward, other, step);
        if (other.number() < winner.number()) {
          recordFailure(other.runner(), "silent", false, step);
          picker.recordSession(forward, winner.runner());
        }
      }
    }
  }

  private void acceptFailure(
      PendingForward forward,
      LiveAttempt attempt,
      AttemptResult.Answered answered,
      GatewayStep step) {
    RunnerEntry runner = attempt.runner();
    String reason = "status " + answered.status() + (answered.notRun() ? ", not run" : "");
    if (answered.notRun()) {
      runnerStates.health(runner.id()).releaseProbe();
      forward.markRejected();
      if (!forward.model().isEmpty() && answered.status() == STATUS_MISDIRECTED) {
        runnerStates.markMissing(runner.id(), forward.model(), forward.adapter());
      } else if (answered.status() != STATUS_MISDIRECTED) {
        runnerStates.recordRejection(runner, step.now());
      }
      goOnOrEnd(forward, attempt, reason, true, step);
      return;
    }
    forward.markMayHaveRun(runner);
    boolean failed = answered.status() >= STATUS_SERVER_ERROR;
    if (!runnerStates.remainingPause(runner, step.now()).isZero()) {
      runnerStates.health(runner.id()).releaseProbe();
    } else if (failed) {
      recordFailure(runner, reason, false, step);
    } else {
      runnerStates.health(runner.id()).recordSuccess();
    }
    boolean relayable = answered.relayable() && !forward.answerStarted();
    // The other attempt may begin a stream before this answer is relayed.
    boolean otherMayPrevail = failed || !relayable || forward.route().streaming();
    if (forward.isLive() && otherMayPrevail) {
      goOn(forward, attempt, reason, Duration.ZERO, step);
    } else if (failed
        && sender.mayRetry(forward, false)
        && picker.hasAlternative(forward, step.now())) {
      retry(forward, reason, Duration.ZERO, step);
    } else if (relayable) {
      pending.cancelAttempts(forward, step);
      ForwardLog.answered(forward, runner, answered.status(), step);
      step.emit(new GatewayEffect.RelayAnswer(forward.exchange(), attempt.number()));
      pending.remove(forward);
    } else {
      pending.giveUp(forward, reason, step);
    }
  }

  private void acceptFault(
      PendingForward forward,
      LiveAttempt attempt,
      AttemptResult.LocalFault fault,
      GatewayStep step) {
    runnerStates.health(attempt.runner().id()).releaseProbe();
    forward.markLocalFault();
    if (fault.maybeSent()) {
      forward.markMayHaveRun(attempt.runner());
      forward.updateLastEvent(fault.lastEvent());
    } else {
      forward.markRejected();
    }
    if (!goOnOrRetry(forward, attempt, fault.reason(), !fault.maybeSent(), step)) {
      pending.giveUpAfterFault(forward, fault.reason(), step);
    }
  }

  private void goOnOrEnd(
      PendingForward forward,
      LiveAttempt attempt,
      String reason,
      boolean notRun,
      GatewayStep step) {
    if (!goOnOrRetry(forward, attempt, reason, notRun, step)) {
      pending.giveUp(forward, reason, step);
    }
  }

  /** Goes on with the other attempts or requeues the request. Returns false if neither may be. */
  private boolean goOnOrRetry(
      PendingForward forward,
      LiveAttempt attempt,
      String reason,
      boolean notRun,
      GatewayStep step) {
    Duration pause =
        notRun ? REJECTION_PAUSE.multipliedBy(1L << (forward.rejections() - 1)) : Duration.ZERO;
    if (forward.isLive()) {
      goOn(forward, attempt, reason, pause, step);
    } else if (sender.mayRetry(forward, notRun)) {
      retry(forward, reason, pause, step);
    } else {
      return false;
    }
    return true;
  }

  /** Goes on with the live attempts of a request; another one may follow after a pause. */
  private void goOn(
      PendingForward forward, LiveAttempt ended, String reason, Duration pause, GatewayStep step) {
    ForwardLog.kept(forward, ended, reason, step);
    Duration minimum = MIN_PAUSE_BESIDE_LIVE_ATTEMPT;
    forward.postpone(step.now().plus(pause.compareTo(minimum) > 0 ? pause : minimum));
  }

  private void retry(PendingForward forward, String reason, Duration pause, GatewayStep step) {
    ForwardLog.retried(forward, reason, step);
    forward.requeue(step.now().plus(pause), step.now());
  }

  /** Records that a runner failed, which may eject it. */
  void recordFailure(RunnerEntry runner, String reason, boolean conclusive, GatewayStep step) {
    if (runnerStates.health(runner.id()).recordFailure(conclusive, step.now())) {
      step.log(
          EventCode.RUNNER_EJECTED,
          "runner",
          runner.id(),
          "service",
          runner.service(),
          "reason",
          reason,
          "failures",
          runnerStates.health(runner.id()).failureRate());
    }
  }
}
