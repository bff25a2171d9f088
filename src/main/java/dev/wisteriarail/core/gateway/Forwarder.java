package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.ModelDemand;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.forward.CrashHistory;
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
 * The requests of one node, from their arrival to their end.
 *
 * <p>A request is handed to another runner only if the one before said that it did not run it, if
 * no byte of it was sent, or if its route lets it run again.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class Forwarder {

  /**
   * Pause after the first time that a runner said that it is full or changing; twice as long after
   * each further time, so that the last one comes after the slowest of its reports.
   */
  private static final Duration REJECTION_PAUSE = Duration.ofMillis(60);

  /** Rejections of one request after which it is refused. */
  private static final int MAX_REJECTIONS = 6;

  /** Time to come back after a refusal of a request that crashes runners. */
  private static final Duration CRASH_RETRY_AFTER = Duration.ofSeconds(30);

  /**
   * Time in which another node takes the lease and gives its first order: the silence after which a
   * coordinator counts as lost, the lease, the handover, and a load from disk.
   */
  private static final Duration TAKEOVER_TIME = Duration.ofSeconds(6);

  /** Least time left with which a request is handed to a runner. */
  private static final Duration MIN_TIME_LEFT = Duration.ofMillis(15);

  private static final int STATUS_MISDIRECTED = 421;
  private static final int STATUS_SERVER_ERROR = 500;

  private RetryLimits retryLimits;
  private final RunnerStateTable runnerStates;
  private final RunnerPicker picker;
  private final CrashHistory crashHistory = CrashHistory.create();
  private final DemandCounter demandCounter = DemandCounter.create();
  private final PendingForwardTable pending;
  private final CompletionEstimator completionEstimator;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private int sharingNodes = 1;
  private boolean hasCoordinator;

  private Forwarder(GatewaySettings settings, RunnerStateTable runnerStates) {
    retryLimits = settings.retries();
    this.runnerStates = runnerStates;
    picker = RunnerPicker.create(settings.domain(), runnerStates);
    pending = PendingForwardTable.create(runnerStates, demandCounter);
    completionEstimator = CompletionEstimator.create(pending, this::startsIn);
  }

  static Forwarder create(GatewaySettings settings, RunnerStateTable runnerStates) {
    return new Forwarder(settings, runnerStates);
  }

  /** Takes changed limits of repeats. */
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
    if (crashHistory.isRefused(request.fingerprint(), step.now())) {
      step.log(EventCode.POISON_FOUND, "request", request.id(), "path", request.path());
      refuse(request, ResultCode.CRASHING_REQUEST, Optional.of(CRASH_RETRY_AFTER), step);
      return;
    }
    String service = RunnerPicker.chooseService(route.get(), request);
    PendingForward forward = PendingForward.of(request, route.get(), service, step.now());
    pending.add(forward);
    retryBudget(service).countRequest(step.now());
    demandCounter.countArrival(forward);
    tryToSend(forward, configuration.get(), step);
  }

  /** Refuses a request that is not taken at all. */
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

  /** Sends what can be sent and ends what has waited too long. */
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
    Set<String> full = new HashSet<>();
    for (PendingForward forward : waiting) {
      String target = forward.service() + "/" + forward.model() + "/" + forward.adapter();
      if (full.contains(target)) {
        checkWait(forward, step);
      } else if (!tryToSend(forward, configuration.get(), step)) {
        full.add(target);
      }
    }
  }

  /** Returns whether the request left the queue. */
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
    Optional<RunnerEntry> runner = picker.choose(forward, configuration, step.now());
    if (runner.isEmpty()) {
      checkWait(forward, step);
      return false;
    }
    if (forward.attempts() > 0
        && !retryBudget(forward.service()).tryAcquire(sharingNodes, step.now())) {
      pending.giveUp(forward, "the retry budget is spent", step);
      return true;
    }
    send(forward, runner.get(), step);
    return true;
  }

  private void send(PendingForward forward, RunnerEntry runner, GatewayStep step) {
    final int attempt = forward.send(runner, step.now());
    runnerStates.requestSent(runner.id(), forward.model(), forward.adapter(), forward.tokens());
    picker.recordSession(forward, runner);
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

  // Time

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
   * Returns when a runner may take a request: when its model is there, or when the first of the
   * runners that hold it wants requests again. Without a coordinator nothing is loaded until
   * another node has taken the lease.
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

  /** Returns whether a request that comes now is too late for a stopping node. */
  boolean isTooLate(
      ForwardRequest request,
      Optional<GatewayConfiguration> configuration,
      DrainPlan drain,
      Instant now) {
    return drain.isDraining() && completionEstimator.isTooLate(request, configuration, drain, now);
  }

  /**
   * While a node stops, hands back what waits, has not run, and could not end before the process:
   * another node can take it. What may have run has nobody else, so it is tried until the end.
   */
  void refuseUnfinishable(DrainPlan drain, GatewayStep step) {
    if (!pending.hasWaiting()) {
      return;
    }
    Map<String, List<Duration>> elapsedByRoute = completionEstimator.elapsedByRoute(step.now());
    for (PendingForward forward : pending.all()) {
      boolean waits = forward.state() == PendingForward.State.WAITING && forward.isUnexecuted();
      if (waits
          && drain.cannotComplete(
              completionEstimator.timeNeeded(forward, elapsedByRoute, step.now()), step.now())) {
        pending.endWaiting(forward, ResultCode.DRAINING, DrainPlan.RETRY_AFTER, step);
      }
    }
  }

  /**
   * Ends every request, as the process ends.
   *
   * @return how many there were
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
    forward.runner().ifPresent(runner -> recordFailure(runner, "no answer in time", false, step));
    completionEstimator.recordEnd(forward, step.now());
    pending.expire(forward, step);
  }

  /** Gives up a runner that answers nothing, if another one may go on. */
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

  /**
   * Takes what became of an attempt.
   *
   * @return the fingerprint of the request if its runner may have crashed on it
   */
  Optional<Long> acceptResult(GatewayEvent.AttemptUpdated update, GatewayStep step) {
    Optional<PendingForward> found =
        pending
            .get(update.exchange())
            .filter(forward -> forward.attempts() == update.attempt())
            .filter(forward -> forward.state() != PendingForward.State.WAITING);
    if (found.isEmpty()) {
      return Optional.empty();
    }
    PendingForward forward = found.get();
    boolean crashed =
        update.result() instanceof AttemptResult.Broken broken && broken.connectionLost();
    apply(forward, update.result(), step);
    if (!crashed) {
      return Optional.empty();
    }
    acceptCrash(forward.request().fingerprint(), step.now());
    return Optional.of(forward.request().fingerprint());
  }

  /** Notes that a runner may have crashed on a request, here or at a peer. */
  void acceptCrash(long fingerprint, Instant now) {
    crashHistory.recordCrash(fingerprint, now);
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

  /** Returns whether the request may be handed to another runner. */
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

  /** Returns what this node's callers want now. */
  List<ModelDemand> demands(Instant now) {
    return demandCounter.demands(pending.all(), now);
  }

  /** Returns whether a request waits. */
  boolean hasWaiting() {
    return pending.hasWaiting();
  }

  int size() {
    return pending.size();
  }
}
