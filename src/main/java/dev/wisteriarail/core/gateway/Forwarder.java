package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.ModelDemand;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.RetryBudget;
import dev.wisteriarail.core.forward.RetryLimits;
import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.forward.StallRule;
import dev.wisteriarail.core.forward.WaitRule;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.RouteSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Forwards the requests of one node to runners, from their arrival until they end.
 *
 * <p>A request is sent to another runner only if the previous runner reported that it did not
 * execute the request, if no byte of it was sent, or if its route allows another execution.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class Forwarder {

  /**
   * Delay after the first rejection by a runner that is full or changing its models. It doubles
   * with each further rejection, so that the last retry comes after the slowest of the runner's
   * reports.
   */
  private static final Duration REJECTION_PAUSE = Duration.ofMillis(60);

  /** Number of rejections after which a request is refused. */
  private static final int MAX_REJECTIONS = 6;

  /**
   * Time until another node has taken over the lease and sent its first order: the peer timeout of
   * the coordinator, the lease, the handover delay and a load from disk.
   */
  private static final Duration TAKEOVER_TIME = Duration.ofSeconds(6);

  /** Minimum time until its deadline with which a request is sent to a runner. */
  private static final Duration MIN_TIME_LEFT = Duration.ofMillis(15);

  private static final int STATUS_MISDIRECTED = 421;
  private static final int STATUS_SERVER_ERROR = 500;

  private RetryLimits retryLimits;
  private final RunnerStateTable runnerStates;
  private final RunnerPicker picker;
  private final CrashGuard crashGuard;
  private final DemandCounter demandCounter = DemandCounter.create();
  private final PendingForwardTable pending;
  private final CompletionEstimator completionEstimator;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private int sharingNodes = 1;
  private boolean hasCoordinator;

  private Forwarder(
      GatewaySettings settings, RunnerStateTable runnerStates, CrashGuard crashGuard) {
    retryLimits = settings.retries();
    this.crashGuard = crashGuard;
    this.runnerStates = runnerStates;
    picker = RunnerPicker.create(settings.domain(), runnerStates);
    pending = PendingForwardTable.create(runnerStates, demandCounter);
    completionEstimator = CompletionEstimator.create(pending, this::startsIn);
  }

  static Forwarder create(
      GatewaySettings settings, RunnerStateTable runnerStates, CrashGuard crashGuard) {
    return new Forwarder(settings, runnerStates, crashGuard);
  }

  /** Applies changed retry limits. */
  void accept(RetryLimits newLimits) {
    retryLimits = newLimits;
    retryBudgets.values().forEach(budget -> budget.setLimits(newLimits));
  }

  // Arrival

  void accept(
      ForwardRequest request, Optional<GatewayConfiguration> configuration, GatewayStep step) {
    if (configuration.isEmpty()) {
      refuse(
          request,
          ResultCode.CONFIGURATION_UNKNOWN,
          Optional.of(PendingForwardTable.SHORT_RETRY_AFTER),
          step);
      return;
    }
    Optional<RouteSpec> route = configuration.get().route(request.host(), request.path());
    if (route.isEmpty()) {
      ForwardLog.notFound(request, configuration.get().version(), step);
      step.emit(
          new GatewayEffect.Refuse(request.exchange(), ResultCode.NOT_FOUND, Optional.empty()));
      return;
    }
    String service = RunnerPicker.chooseService(route.get(), request);
    PendingForward forward = PendingForward.of(request, route.get(), service, step.now());
    Optional<CrashRefusal> refusal = crashGuard.refusal(forward.traits(), step.now());
    if (refusal.isPresent()) {
      ForwardLog.refusedAsCrashing(request, "ARRIVED", refusal.get(), step);
      step.emit(
          new GatewayEffect.Refuse(
              request.exchange(),
              ResultCode.CRASHING_REQUEST,
              Optional.of(Duration.ofMillis(refusal.get().remainingMillis()))));
      return;
    }
    pending.add(forward);
    retryBudget(service).countRequest(step.now());
    demandCounter.countArrival(forward);
    tryToSend(forward, configuration.get(), step);
  }

  /** Refuses a request that is not accepted at all. */
  void refuse(
      ForwardRequest request, ResultCode code, Optional<Duration> retryAfter, GatewayStep step) {
    step.log(
        EventCode.FORWARD_REFUSED,
        "request",
        request.id(),
        "code",
        code.label(),
        "return_after_ms",
        retryAfter.map(Duration::toMillis).orElse(-1L));
    step.emit(new GatewayEffect.Refuse(request.exchange(), code, retryAfter));
  }

  // Dispatch

  /**
   * Sends the requests that can be sent and ends those that have waited too long.
   *
   * @param newSharingNodes number of nodes that share the retry budgets
   * @param newHasCoordinator whether a coordinator is known, or none was known since the start
   */
  void advance(
      Optional<GatewayConfiguration> configuration,
      int newSharingNodes,
      boolean newHasCoordinator,
      GatewayStep step) {
    sharingNodes = newSharingNodes;
    hasCoordinator = newHasCoordinator;
    if (configuration.isEmpty() || pending.size() == 0) {
      return;
    }
    List<PendingForward> waiting = new ArrayList<>();
    for (PendingForward forward : pending.all()) {
      if (forward.state() == PendingForward.State.WAITING) {
        waiting.add(forward);
      } else {
        checkDeadline(forward, configuration.get(), step);
      }
    }
    waiting.sort(
        Comparator.comparingInt((PendingForward forward) -> forward.route().rank())
            .thenComparing(PendingForward::arrivedAt));
    Set<String> unavailable = new HashSet<>();
    for (PendingForward forward : waiting) {
      String target = forward.service() + "/" + forward.model() + "/" + forward.adapter();
      if (unavailable.contains(target)) {
        checkWait(forward, step);
      } else if (!tryToSend(forward, configuration.get(), step)) {
        unavailable.add(target);
      }
    }
  }

  /**
   * Sends a request if a runner is free, unless its deadline is too close or it has to wait before
   * its next attempt. Returns false if no runner is free.
   */
  private boolean tryToSend(
      PendingForward forward, GatewayConfiguration configuration, GatewayStep step) {
    if (forward.timeLeft(step.now()).compareTo(MIN_TIME_LEFT) < 0) {
      pending.endWaiting(
          forward, ResultCode.DEADLINE_UNREACHABLE, PendingForwardTable.SHORT_RETRY_AFTER, step);
      return true;
    }
    if (step.now().isBefore(forward.notBefore())) {
      return true;
    }
    if (!crashGuard.maySend(forward, pending)) {
      checkWait(forward, step);
      return true;
    }
    Optional<RunnerEntry> runner =
        picker.choose(forward, configuration, id -> crashGuard.avoids(forward, id), step.now());
    if (runner.isEmpty()) {
      checkWait(forward, step);
      return false;
    }
    if (forward.attempts() > 0
        && !retryBudget(forward.service()).tryAcquire(sharingNodes, step.now())) {
      pending.giveUp(forward, "the retry budget is exhausted", step);
      return true;
    }
    send(forward, runner.get(), step);
    return true;
  }

  private void send(PendingForward forward, RunnerEntry runner, GatewayStep step) {
    final int attempt = forward.send(runner, step.now());
    runnerStates.requestSent(runner.id(), forward.model(), forward.adapter(), forward.tokens());
    picker.recordSession(forward, runner);
    crashGuard.recordSent(forward, runner);
    ForwardLog.sent(forward, runner, runnerStates, step);
    step.emit(
        new GatewayEffect.SendAttempt(
            forward.exchange(),
            attempt,
            runner,
            forward.timeLeft(step.now()),
            forward.route().rank(),
            forward.route().streaming(),
            forward.route().repeatable()));
  }

  /** Ends the requests that are known to crash runners and whose response has not begun. */
  void refuseCrashing(GatewayStep step) {
    for (PendingForward forward : pending.all()) {
      if (!forward.answerStarted()) {
        crashGuard
            .refusal(forward.traits(), step.now())
            .ifPresent(
                refusal -> {
                  ForwardLog.refusedAsCrashing(
                      forward.request(), forward.state().name(), refusal, step);
                  pending.endCrashing(forward, Duration.ofMillis(refusal.remainingMillis()), step);
                });
      }
    }
  }

  // Timeouts

  private void checkWait(PendingForward forward, GatewayStep step) {
    Duration waitTimeLeft = forward.waitTimeLeft(step.now());
    Optional<Duration> startsIn = startsIn(forward, step.now());
    switch (WaitRule.decide(waitTimeLeft, startsIn)) {
      case WaitRule.Decision.Wait wait -> {
        if (forward.markWaitLogged()) {
          ForwardLog.waiting(forward, startsIn, waitTimeLeft, step);
        }
      }
      case WaitRule.Decision.Refuse refuse ->
          pending.endWaiting(forward, ResultCode.DEADLINE_UNREACHABLE, refuse.retryAfter(), step);
    }
  }

  /**
   * Returns the time until a runner may accept a request: until its model is loaded, or until the
   * first runner that holds it accepts requests again. Without a coordinator nothing is loaded
   * until another node has taken over the lease.
   */
  private Optional<Duration> startsIn(PendingForward forward, Instant now) {
    List<RunnerEntry> holders =
        runnerStates.holders(forward.service(), forward.model(), forward.adapter());
    Duration pause =
        holders.stream()
            .map(holder -> runnerStates.remainingPause(holder, now))
            .min(Comparator.naturalOrder())
            .orElse(Duration.ZERO);
    if (!pause.isZero()) {
      return Optional.of(pause);
    }
    Optional<Duration> forecast =
        runnerStates.forecast(forward.service(), forward.model(), forward.adapter(), now);
    boolean loaded = forward.model().isEmpty() || !holders.isEmpty();
    return forecast.isPresent() || loaded || hasCoordinator ? forecast : Optional.of(TAKEOVER_TIME);
  }

  /** Returns whether a draining node refuses a request that arrives now. */
  boolean isTooLate(
      ForwardRequest request,
      Optional<GatewayConfiguration> configuration,
      DrainPlan drain,
      Instant now) {
    return drain.isDraining() && completionEstimator.isTooLate(request, configuration, drain, now);
  }

  /** Refuses the waiting requests that another node can serve and that may not end in time here. */
  void refuseUnfinishable(DrainPlan drain, GatewayStep step) {
    for (PendingForward forward : completionEstimator.tooLate(drain, step.now())) {
      pending.endWaiting(forward, ResultCode.DRAINING, DrainPlan.RETRY_AFTER, step);
    }
  }

  /**
   * Ends all requests because the process exits.
   *
   * @return the number of requests that were ended
   */
  int endAll(GatewayStep step) {
    return pending.endAll(step);
  }

  private void checkDeadline(
      PendingForward forward, GatewayConfiguration configuration, GatewayStep step) {
    if (step.now().isBefore(forward.deadline())) {
      checkStall(forward, configuration, step);
      return;
    }
    forward.runner().ifPresent(runner -> recordFailure(runner, "no response in time", false, step));
    completionEstimator.recordEnd(forward, step.now());
    pending.expire(forward, step);
  }

  /** Ends an attempt whose runner has stalled, if another runner may continue. */
  private void checkStall(
      PendingForward forward, GatewayConfiguration configuration, GatewayStep step) {
    RunnerEntry runner = forward.runner().orElseThrow();
    int slots =
        configuration.engineOf(forward.service()).map(EngineSpec::slots).orElse(runner.slots());
    boolean stalled =
        StallRule.isStalled(
            forward.route(),
            forward.answerStarted(),
            Duration.between(forward.lastProgressAt(), step.now()),
            runnerStates.totalRunning(runner),
            slots);
    if (!stalled || !forward.canStall()) {
      return;
    }
    forward.markMayHaveRun();
    if (mayRetry(forward, false) && picker.hasAlternative(forward, step.now())) {
      pending.cancelAttempt(forward, step);
      recordFailure(runner, "silent", false, step);
      retry(forward, "silent", Duration.ZERO, step);
    } else {
      forward.markStallIgnored();
    }
  }

  // Results

  /** Handles the progress or the result of an attempt. */
  void acceptResult(GatewayEvent.AttemptUpdated update, GatewayStep step) {
    pending
        .get(update.exchange())
        .filter(forward -> forward.attempts() == update.attempt())
        .filter(forward -> forward.state() != PendingForward.State.WAITING)
        .ifPresent(
            forward -> {
              recordEvidence(forward, update.result(), step);
              apply(forward, update.result(), step);
            });
  }

  /** Records what a result tells about crashes of runners and requests that cause them. */
  private void recordEvidence(PendingForward forward, AttemptResult result, GatewayStep step) {
    RunnerEntry runner = forward.runner().orElseThrow();
    switch (result) {
      case AttemptResult.Started started -> {
        crashGuard.recordSignOfLife(runner, forward.attemptSentAt(), step);
        crashGuard.recordResponse(forward, step);
      }
      case AttemptResult.Finished finished -> {
        crashGuard.recordSignOfLife(runner, forward.attemptSentAt(), step);
        crashGuard.recordResponse(forward, step);
      }
      case AttemptResult.Progressed progressed ->
          crashGuard.recordSignOfLife(runner, forward.attemptSentAt(), step);
      case AttemptResult.Answered answered ->
          crashGuard.recordSignOfLife(runner, forward.attemptSentAt(), step);
      case AttemptResult.NotSent notSent -> {}
      case AttemptResult.Broken broken -> {
        if (broken.connectionLost() && !broken.started() && !forward.answerStarted()) {
          crashGuard.recordLoss(forward, runner, step);
        }
      }
    }
  }

  private void apply(PendingForward forward, AttemptResult result, GatewayStep step) {
    RunnerEntry runner = forward.runner().orElseThrow();
    switch (result) {
      case AttemptResult.Started started -> {
        runnerStates.health(runner.id()).recordSuccess();
        forward.markMayHaveRun();
        forward.markStarted(step.now());
      }
      case AttemptResult.Progressed progressed -> forward.markProgress(step.now());
      case AttemptResult.Finished finished -> {
        pending.endOnRunner(forward, runner);
        runnerStates.health(runner.id()).recordSuccess();
        completionEstimator.recordEnd(forward, step.now());
        ForwardLog.answered(forward, runner, finished.status(), step);
        pending.remove(forward);
      }
      case AttemptResult.Answered answered -> {
        pending.endOnRunner(forward, runner);
        acceptFailure(forward, runner, answered, step);
      }
      case AttemptResult.NotSent notSent -> {
        pending.endOnRunner(forward, runner);
        forward.markRejected();
        recordFailure(runner, notSent.reason(), true, step);
        retryOrEnd(forward, notSent.reason(), true, step);
      }
      case AttemptResult.Broken broken -> {
        pending.endOnRunner(forward, runner);
        forward.markMayHaveRun();
        forward.updateLastEvent(broken.lastEvent());
        recordFailure(runner, broken.reason(), false, step);
        retryOrEnd(forward, broken.reason(), false, step);
      }
    }
  }

  private void acceptFailure(
      PendingForward forward,
      RunnerEntry runner,
      AttemptResult.Answered answered,
      GatewayStep step) {
    String reason = "status " + answered.status() + (answered.notRun() ? ", not run" : "");
    if (answered.notRun()) {
      runnerStates.health(runner.id()).releaseProbe();
      forward.markRejected();
      if (!forward.model().isEmpty() && answered.status() == STATUS_MISDIRECTED) {
        runnerStates.markMissing(runner.id(), forward.model(), forward.adapter());
      }
      retryOrEnd(forward, reason, true, step);
      return;
    }
    forward.markMayHaveRun();
    boolean failed = answered.status() >= STATUS_SERVER_ERROR;
    if (!runnerStates.remainingPause(runner, step.now()).isZero()) {
      runnerStates.health(runner.id()).releaseProbe();
    } else if (failed) {
      recordFailure(runner, reason, false, step);
    } else {
      runnerStates.health(runner.id()).recordSuccess();
    }
    if (failed && mayRetry(forward, false) && picker.hasAlternative(forward, step.now())) {
      retry(forward, reason, Duration.ZERO, step);
    } else if (answered.relayable() && !forward.answerStarted()) {
      ForwardLog.answered(forward, runner, answered.status(), step);
      step.emit(new GatewayEffect.RelayAnswer(forward.exchange(), forward.attempts()));
      pending.remove(forward);
    } else {
      pending.giveUp(forward, reason, step);
    }
  }

  /** Returns whether the request may be sent to another runner. */
  private boolean mayRetry(PendingForward forward, boolean notRun) {
    if (notRun && !forward.mayHaveRun()) {
      return forward.rejections() < MAX_REJECTIONS;
    }
    return forward.route().repeatable()
        && forward.runnersThatMayHaveRun().size() < forward.route().maxRunners()
        && forward.rejections() < MAX_REJECTIONS;
  }

  private void retryOrEnd(PendingForward forward, String reason, boolean notRun, GatewayStep step) {
    if (mayRetry(forward, notRun)) {
      Duration pause =
          notRun ? REJECTION_PAUSE.multipliedBy(1L << (forward.rejections() - 1)) : Duration.ZERO;
      retry(forward, reason, pause, step);
    } else {
      pending.giveUp(forward, reason, step);
    }
  }

  private void retry(PendingForward forward, String reason, Duration pause, GatewayStep step) {
    ForwardLog.retried(forward, reason, step);
    forward.requeue(step.now().plus(pause), step.now());
  }

  private void recordFailure(
      RunnerEntry runner, String reason, boolean conclusive, GatewayStep step) {
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

  void acceptDisconnect(long exchange, GatewayStep step) {
    pending
        .get(exchange)
        .ifPresent(
            forward -> {
              completionEstimator.recordEnd(forward, step.now());
              pending.cancelAttempt(forward, step);
              ForwardLog.callerDisconnected(forward, step);
              pending.remove(forward);
            });
  }

  private RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(service, name -> RetryBudget.create(retryLimits));
  }

  // Accessors

  /** Returns the current demand of this node's callers. */
  List<ModelDemand> demands(Instant now) {
    return demandCounter.demands(pending.all(), now);
  }

  /** Returns whether a request waits for a runner. */
  boolean hasWaiting() {
    return pending.hasWaiting();
  }

  int size() {
    return pending.size();
  }
}
