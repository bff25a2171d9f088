package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.ModelDemand;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.forward.CrashLedger;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.RetryBudget;
import dev.wisteriarail.core.forward.RetryLimits;
import dev.wisteriarail.core.forward.RunnerBoard;
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
import java.util.LinkedHashMap;
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

  /** Pause after a runner said that it is full or changing: about the lag of its reports. */
  private static final Duration REJECTION_PAUSE = Duration.ofMillis(60);

  /** Rejections of one request after which it is refused. */
  private static final int MOST_REJECTIONS = 6;

  /** Time to come back after a refusal that only needs another node or a moment. */
  private static final Duration SHORT_RETURN = Duration.ofMillis(500);

  /** Time to come back after a refusal of a request that crashes runners. */
  private static final Duration CRASH_RETURN = Duration.ofSeconds(30);

  /**
   * Time in which another node takes the lease and gives its first order: the silence after which a
   * coordinator counts as lost, the lease, the handover, and a load from disk.
   */
  private static final Duration TAKEOVER = Duration.ofSeconds(6);

  /** Least time left with which a request is handed to a runner. */
  private static final Duration LEAST_TIME = Duration.ofMillis(15);

  private static final int STATUS_MISDIRECTED = 421;
  private static final int STATUS_SERVER_ERROR = 500;

  private RetryLimits retries;
  private final RunnerBoard board;
  private final RunnerPicker picker;
  private final CrashLedger crashes = CrashLedger.create();
  private final DemandTally tally = DemandTally.create();
  private final Map<Long, PendingForward> pending = new LinkedHashMap<>();
  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private int nodes = 1;
  private boolean hasCoordinator;

  private Forwarder(GatewaySettings settings, RunnerBoard board) {
    retries = settings.retries();
    this.board = board;
    picker = RunnerPicker.create(settings.domain(), board);
  }

  static Forwarder create(GatewaySettings settings, RunnerBoard board) {
    return new Forwarder(settings, board);
  }

  /** Takes changed limits of repeats. */
  void accept(RetryLimits changed) {
    retries = changed;
    budgets.values().forEach(budget -> budget.setLimits(changed));
  }

  // Arrival

  void accept(
      ForwardRequest request, Optional<GatewayConfiguration> configuration, GatewayStep step) {
    if (configuration.isEmpty()) {
      refuse(request, ResultCode.CONFIGURATION_UNKNOWN, Optional.of(SHORT_RETURN), step);
      return;
    }
    Optional<RouteSpec> route = configuration.get().route(request.host(), request.path());
    if (route.isEmpty()) {
      ForwardLog.notFound(request, configuration.get().version(), step);
      step.emit(
          new GatewayEffect.Refuse(request.exchange(), ResultCode.NOT_FOUND, Optional.empty()));
      return;
    }
    if (crashes.isRefused(request.fingerprint(), step.now())) {
      step.log(EventCode.POISON_FOUND, "request", request.id(), "path", request.path());
      refuse(request, ResultCode.CRASHING_REQUEST, Optional.of(CRASH_RETURN), step);
      return;
    }
    String service = RunnerPicker.chooseService(route.get(), request);
    PendingForward forward = PendingForward.of(request, route.get(), service, step.now());
    pending.put(request.exchange(), forward);
    budget(service).countRequest(step.now());
    tally.countArrival(forward);
    tryToSend(forward, configuration.get(), step);
  }

  /** Refuses a request that is not taken at all. */
  void refuse(
      ForwardRequest request, ResultCode code, Optional<Duration> returnAfter, GatewayStep step) {
    step.log(
        EventCode.FORWARD_REFUSED,
        "request",
        request.id(),
        "code",
        code.label(),
        "return_after_ms",
        returnAfter.map(Duration::toMillis).orElse(-1L));
    step.emit(new GatewayEffect.Refuse(request.exchange(), code, returnAfter));
  }

  // Dispatch

  /** Sends what can be sent and ends what has waited too long. */
  void advance(
      Optional<GatewayConfiguration> configuration,
      int sharers,
      boolean coordinated,
      GatewayStep step) {
    nodes = sharers;
    hasCoordinator = coordinated;
    if (configuration.isEmpty() || pending.isEmpty()) {
      return;
    }
    List<PendingForward> waiting = new ArrayList<>();
    for (PendingForward forward : List.copyOf(pending.values())) {
      if (forward.state() == PendingForward.State.WAITING) {
        waiting.add(forward);
      } else {
        checkTime(forward, configuration.get(), step);
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
    if (forward.timeLeft(step.now()).compareTo(LEAST_TIME) < 0) {
      endWaiting(forward, SHORT_RETURN, step);
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
    if (forward.attempts() > 0 && !budget(forward.service()).takeRepeat(nodes, step.now())) {
      giveUp(forward, "the retry budget is spent", step);
      return true;
    }
    send(forward, runner.get(), step);
    return true;
  }

  private void send(PendingForward forward, RunnerEntry runner, GatewayStep step) {
    final int attempt = forward.send(runner, step.now());
    board.begin(runner.id(), forward.model(), forward.adapter(), forward.tokens());
    picker.note(forward, runner);
    ForwardLog.sent(forward, runner, board, step);
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
    Duration left = forward.patienceLeft(step.now());
    Optional<Duration> startsIn = startsIn(forward, step.now());
    switch (WaitRule.decide(left, startsIn)) {
      case WaitRule.Verdict.Wait wait -> {
        if (forward.takeWaitLog()) {
          ForwardLog.waiting(forward, startsIn, left, step);
        }
      }
      case WaitRule.Verdict.Refuse refuse -> endWaiting(forward, refuse.returnAfter(), step);
    }
  }

  /** Without a coordinator nothing is loaded until another node has taken the lease. */
  private Optional<Duration> startsIn(PendingForward forward, Instant now) {
    Optional<Duration> told =
        board.forecast(forward.service(), forward.model(), forward.adapter(), now);
    boolean loaded =
        forward.model().isEmpty()
            || !board.holders(forward.service(), forward.model(), forward.adapter()).isEmpty();
    return told.isPresent() || loaded || hasCoordinator ? told : Optional.of(TAKEOVER);
  }

  private void endWaiting(PendingForward forward, Duration returnAfter, GatewayStep step) {
    if (forward.answerBegun()) {
      cut(forward, "no runner to go on with", step);
    } else if (forward.mayHaveRun()) {
      end(forward, ResultCode.OUTCOME_UNKNOWN, Optional.empty(), step);
    } else {
      tally.countReturn(forward, step.now().plus(returnAfter));
      end(forward, ResultCode.DEADLINE_UNREACHABLE, Optional.of(returnAfter), step);
    }
  }

  /** While a node stops, ends what waits at a time from which nothing like it is taken any more. */
  void endWaiting(DrainPlan drain, GatewayStep step) {
    for (PendingForward forward : List.copyOf(pending.values())) {
      boolean waits = forward.state() == PendingForward.State.WAITING;
      if (waits && drain.refuses(forward.route().streaming(), step.now())) {
        endWaiting(forward, DrainPlan.RETURN, step);
      }
    }
  }

  private void checkTime(
      PendingForward forward, GatewayConfiguration configuration, GatewayStep step) {
    if (step.now().isBefore(forward.deadline())) {
      checkStall(forward, configuration, step);
      return;
    }
    release(forward, step);
    forward.runner().ifPresent(runner -> noteFailure(runner, "no answer in time", false, step));
    if (forward.answerBegun()) {
      cut(forward, "the time limit passed", step);
    } else {
      end(forward, ResultCode.DEADLINE_PASSED, Optional.empty(), step);
    }
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
            forward.answerBegun(),
            Duration.between(forward.progressAt(), step.now()),
            board.allRunning(runner),
            slots);
    if (!stalled || !forward.mayStall()) {
      return;
    }
    forward.markMayHaveRun();
    if (mayRetry(forward, false) && picker.hasOther(forward, step.now())) {
      release(forward, step);
      noteFailure(runner, "silent", false, step);
      retry(forward, "silent", Duration.ZERO, step);
    } else {
      forward.markStallKept();
    }
  }

  // Results

  /**
   * Takes what became of an attempt.
   *
   * @return the fingerprint of the request if its runner may have crashed on it
   */
  Optional<Long> acceptResult(GatewayEvent.AttemptTold told, GatewayStep step) {
    PendingForward forward = pending.get(told.exchange());
    if (forward == null
        || forward.attempts() != told.attempt()
        || forward.state() == PendingForward.State.WAITING) {
      return Optional.empty();
    }
    boolean crashed = told.result() instanceof AttemptResult.Broken broken && broken.lost();
    apply(forward, told.result(), step);
    if (!crashed) {
      return Optional.empty();
    }
    acceptCrash(forward.request().fingerprint(), step.now());
    return Optional.of(forward.request().fingerprint());
  }

  /** Notes that a runner may have crashed on a request, here or at a peer. */
  void acceptCrash(long fingerprint, Instant now) {
    crashes.note(fingerprint, now);
  }

  private void apply(PendingForward forward, AttemptResult result, GatewayStep step) {
    RunnerEntry runner = forward.runner().orElseThrow();
    switch (result) {
      case AttemptResult.Started started -> {
        board.health(runner.id()).succeed();
        forward.markMayHaveRun();
        forward.markStarted(step.now());
      }
      case AttemptResult.Progressed progressed -> forward.markProgress(step.now());
      case AttemptResult.Finished finished -> {
        leave(forward, runner);
        board.health(runner.id()).succeed();
        ForwardLog.answered(forward, runner, finished.status(), step);
        pending.remove(forward.exchange());
      }
      case AttemptResult.Answered answered -> {
        leave(forward, runner);
        acceptFailure(forward, runner, answered, step);
      }
      case AttemptResult.NotSent notSent -> {
        leave(forward, runner);
        forward.markRejected();
        noteFailure(runner, notSent.reason(), true, step);
        retryOrEnd(forward, notSent.reason(), true, step);
      }
      case AttemptResult.Broken broken -> {
        leave(forward, runner);
        forward.markMayHaveRun();
        forward.keepLastEvent(broken.lastEvent());
        noteFailure(runner, broken.reason(), false, step);
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
      board.health(runner.id()).release();
      forward.markRejected();
      if (!forward.model().isEmpty() && answered.status() == STATUS_MISDIRECTED) {
        board.markMissing(runner.id(), forward.model(), forward.adapter());
      }
      retryOrEnd(forward, reason, true, step);
      return;
    }
    forward.markMayHaveRun();
    boolean failed = answered.status() >= STATUS_SERVER_ERROR;
    if (failed) {
      noteFailure(runner, reason, false, step);
    } else {
      board.health(runner.id()).succeed();
    }
    if (failed && mayRetry(forward, false) && picker.hasOther(forward, step.now())) {
      retry(forward, reason, Duration.ZERO, step);
    } else if (answered.passable()) {
      ForwardLog.answered(forward, runner, answered.status(), step);
      step.emit(new GatewayEffect.PassAnswer(forward.exchange(), forward.attempts()));
      pending.remove(forward.exchange());
    } else {
      giveUp(forward, reason, step);
    }
  }

  /** Returns whether the request may be handed to another runner. */
  private boolean mayRetry(PendingForward forward, boolean notRun) {
    if (notRun && !forward.mayHaveRun()) {
      return forward.rejections() < MOST_REJECTIONS;
    }
    return forward.route().repeatable()
        && forward.runnersThatMayHaveRun().size() < forward.route().maxRunners()
        && forward.rejections() < MOST_REJECTIONS;
  }

  private void retryOrEnd(PendingForward forward, String reason, boolean notRun, GatewayStep step) {
    if (mayRetry(forward, notRun)) {
      retry(forward, reason, notRun ? REJECTION_PAUSE : Duration.ZERO, step);
    } else {
      giveUp(forward, reason, step);
    }
  }

  private void retry(PendingForward forward, String reason, Duration pause, GatewayStep step) {
    ForwardLog.retried(forward, reason, step);
    forward.waitAgain(step.now().plus(pause), step.now());
  }

  private void giveUp(PendingForward forward, String reason, GatewayStep step) {
    if (forward.answerBegun()) {
      cut(forward, reason, step);
    } else if (forward.mayHaveRun()) {
      end(forward, ResultCode.OUTCOME_UNKNOWN, Optional.empty(), step);
    } else {
      end(forward, ResultCode.NO_CAPACITY, Optional.of(SHORT_RETURN), step);
    }
  }

  private void noteFailure(RunnerEntry runner, String reason, boolean certain, GatewayStep step) {
    if (board.health(runner.id()).fail(certain, step.now())) {
      step.log(
          EventCode.RUNNER_EJECTED,
          "runner",
          runner.id(),
          "service",
          runner.service(),
          "reason",
          reason,
          "failures",
          board.health(runner.id()).failures());
    }
  }

  // Ends

  private void leave(PendingForward forward, RunnerEntry runner) {
    board.end(runner.id(), forward.model(), forward.adapter(), forward.tokens());
  }

  private void release(PendingForward forward, GatewayStep step) {
    if (forward.state() != PendingForward.State.WAITING) {
      RunnerEntry runner = forward.runner().orElseThrow();
      leave(forward, runner);
      board.health(runner.id()).release();
      step.emit(new GatewayEffect.CancelAttempt(forward.exchange(), forward.attempts()));
    }
  }

  private void end(
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

  void acceptLeft(long exchange, GatewayStep step) {
    PendingForward forward = pending.get(exchange);
    if (forward == null) {
      return;
    }
    release(forward, step);
    ForwardLog.left(forward, step);
    pending.remove(exchange);
  }

  private RetryBudget budget(String service) {
    return budgets.computeIfAbsent(service, name -> RetryBudget.create(retries));
  }

  // Accessors

  /** Returns what this node's callers want now. */
  List<ModelDemand> demands(Instant now) {
    return tally.demands(pending.values(), now);
  }

  /** Returns whether a request waits. */
  boolean hasWaiting() {
    return pending.values().stream()
        .anyMatch(forward -> forward.state() == PendingForward.State.WAITING);
  }

  int size() {
    return pending.size();
  }
}
