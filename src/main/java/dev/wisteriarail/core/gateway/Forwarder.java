package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.FleetPosition;
import dev.wisteriarail.core.fleet.ModelDemand;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.forward.SlotForecast;
import dev.wisteriarail.core.forward.WaitRule;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.tenant.AllowanceDecisions;
import dev.wisteriarail.core.tenant.TenantAllowances;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

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
   * Time until another node has taken over the lease and sent its first order: the peer timeout of
   * the coordinator, the lease, the handover delay and a load from disk.
   */
  private static final Duration TAKEOVER_TIME = Duration.ofSeconds(6);

  private final RunnerStateTable runnerStates;
  private final CallerAuthenticator authenticator;
  private final CrashGuard crashGuard;
  private final DemandCounter demandCounter = DemandCounter.create();
  private final AllowanceGate allowanceGate;
  private final PendingForwardTable pending;
  private final CompletionEstimator completionEstimator;
  private final ForwardQueue queue;
  private final AttemptSender sender;
  private final StallHandler stalls;
  private final AttemptResultHandler results;
  private boolean hasCoordinator;
  private boolean admittedLater;

  private Forwarder(
      GatewaySettings settings,
      RunnerStateTable runnerStates,
      CallerAuthenticator authenticator,
      CrashGuard crashGuard,
      TenantAllowances allowances,
      AllowanceGate.Owners owners,
      DrainPlan drain,
      Supplier<FleetPosition> position) {
    this.authenticator = authenticator;
    this.crashGuard = crashGuard;
    this.runnerStates = runnerStates;
    allowanceGate = AllowanceGate.create(allowances, owners);
    pending = PendingForwardTable.create(runnerStates, demandCounter, allowanceGate);
    completionEstimator = CompletionEstimator.create(pending, authenticator, this::startsIn);
    RunnerPicker picker =
        RunnerPicker.create(settings.domain(), settings.balance(), position, runnerStates);
    queue = ForwardQueue.create(settings.load().urgentQueue());
    sender =
        AttemptSender.create(
            settings.retries(), runnerStates, picker, crashGuard, pending, drain, queue);
    stalls = StallHandler.create(runnerStates, sender, queue);
    results =
        AttemptResultHandler.create(
            runnerStates, picker, crashGuard, pending, completionEstimator, sender);
  }

  /**
   * Creates a forwarder without requests.
   *
   * @param owners decide on what the node's shares of allowances do not hold
   * @param position returns the node's place among all nodes
   */
  static Forwarder create(
      GatewaySettings settings,
      RunnerStateTable runnerStates,
      CallerAuthenticator authenticator,
      CrashGuard crashGuard,
      TenantAllowances allowances,
      AllowanceGate.Owners owners,
      DrainPlan drain,
      Supplier<FleetPosition> position) {
    return new Forwarder(
        settings, runnerStates, authenticator, crashGuard, allowances, owners, drain, position);
  }

  /** Applies changed settings. */
  void accept(GatewaySettings settings) {
    sender.accept(settings.retries());
    queue.setUrgentQueue(settings.load().urgentQueue());
  }

  // Arrival

  /**
   * Accepts or refuses an arriving request. The checks are made in this order: the configuration is
   * known, a route matches, the key is that of a tenant, the request crashes no runners.
   */
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
    CallerAuthenticator.Decision caller =
        authenticator.decide(request, route.get(), configuration.get(), step.now());
    if (caller instanceof CallerAuthenticator.Decision.Refused refused) {
      refuseCaller(request, route.get(), refused, configuration.get(), step);
      return;
    }
    Optional<TenantSpec> tenant = caller.tenantIfKnown();
    String service = RunnerPicker.chooseService(route.get(), request);
    PendingForward forward = PendingForward.of(request, route.get(), service, tenant, step.now());
    admit(forward, configuration.get(), step);
  }

  /** Queues a request whose route and caller are known, or sends it at once. */
  void admit(PendingForward forward, GatewayConfiguration configuration, GatewayStep step) {
    ForwardRequest request = forward.request();
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
    switch (allowanceGate.admit(forward, step)) {
      case WAITING -> pending.add(forward);
      case ADMITTED -> enqueue(forward, configuration, step);
      default -> {}
    }
  }

  /** Handles the owner's decision on the cost of a request. */
  void acceptAllowance(
      FleetMessage.AllowanceAnswered answer,
      Optional<GatewayConfiguration> configuration,
      GatewayStep step) {
    Optional<PendingForward> waiting =
        pending.get(answer.number()).filter(each -> each.allowanceWait().isPresent());
    if (waiting.isEmpty() || configuration.isEmpty()) {
      return;
    }
    PendingForward forward = waiting.get();
    AllowanceDecisions.Decision decision =
        new AllowanceDecisions.Decision(answer.granted(), Duration.ofMillis(answer.delayMillis()));
    AllowanceGate.Outcome outcome =
        allowanceGate.accept(forward, forward.allowanceWait().orElseThrow(), decision, step);
    conclude(forward, outcome, configuration.get(), step);
  }

  /** Applies a decision of the allowance gate to a request that waits for it. */
  private void conclude(
      PendingForward forward,
      AllowanceGate.Outcome outcome,
      GatewayConfiguration configuration,
      GatewayStep step) {
    switch (outcome) {
      case ADMITTED -> {
        admittedLater = true;
        enqueue(forward, configuration, step);
      }
      case REFUSED -> pending.remove(forward);
      default -> {}
    }
  }

  private void enqueue(
      PendingForward forward, GatewayConfiguration configuration, GatewayStep step) {
    pending.add(forward);
    sender.countRequest(forward.service(), step.now());
    demandCounter.countArrival(forward);
    queue.apply(configuration);
    // A request that arrives does not pass those that wait; the pass after this event orders them.
    if (!queue.isFair(forward) || !queue.target(forward, step.now()).isBlocked()) {
      tryToSend(forward, configuration, step);
    }
  }

  private void refuseCaller(
      ForwardRequest request,
      RouteSpec route,
      CallerAuthenticator.Decision.Refused refused,
      GatewayConfiguration configuration,
      GatewayStep step) {
    ForwardLog.callerRefused(
        request, route, refused, configuration.version(), authenticator.age(step.now()), step);
    boolean temporary = refused.code() == ResultCode.CONFIGURATION_UNCONFIRMED;
    step.emit(
        new GatewayEffect.Refuse(
            request.exchange(),
            refused.code(),
            temporary ? Optional.of(PendingForwardTable.SHORT_RETRY_AFTER) : Optional.empty()));
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
    sender.setSharingNodes(newSharingNodes);
    hasCoordinator = newHasCoordinator;
    if (configuration.isEmpty()) {
      return;
    }
    queue.beginPass(configuration.get(), step.now());
    if (pending.size() == 0) {
      queue.measure(List.of(), step);
      return;
    }
    advanceAllowances(configuration.get(), step);
    List<PendingForward> waiting = new ArrayList<>();
    for (PendingForward forward : pending.all()) {
      if (forward.state() != PendingForward.State.WAITING) {
        checkDeadline(forward, configuration.get(), step);
      } else if (forward.waitsForRunner()) {
        waiting.add(forward);
      }
    }
    queue.measure(waiting, step);
    queue.sort(waiting);
    for (PendingForward forward : waiting) {
      TargetQueue target = queue.target(forward, step.now());
      if (target.isBlocked() && !(queue.isFair(forward) && target.mayPass(forward))) {
        checkWait(forward, step);
      } else if (!tryToSend(forward, configuration.get(), step)) {
        long room =
            queue.isFair(forward) && !target.isBlocked()
                ? sender.room(forward, configuration.get(), step.now())
                : 0;
        target.block(forward, room);
      }
    }
  }

  private void advanceAllowances(GatewayConfiguration configuration, GatewayStep step) {
    for (PendingForward forward : pending.waitingForAllowance()) {
      AllowanceWait wait = forward.allowanceWait().orElseThrow();
      conclude(forward, allowanceGate.advance(forward, wait, step), configuration, step);
    }
  }

  /**
   * Sends a request if a runner is free, unless its deadline is too close or it has to wait before
   * its next attempt. Returns false if no runner is free.
   */
  private boolean tryToSend(
      PendingForward forward, GatewayConfiguration configuration, GatewayStep step) {
    if (AttemptSender.isTooLate(forward, step.now())) {
      pending.endWaiting(
          forward, ResultCode.DEADLINE_UNREACHABLE, PendingForwardTable.SHORT_RETRY_AFTER, step);
      return true;
    }
    if (step.now().isBefore(forward.notBefore()) || endIfCrashing(forward, step)) {
      return true;
    }
    if (!sender.maySend(forward, step.now())) {
      checkWait(forward, step);
      return true;
    }
    Optional<RunnerEntry> runner = sender.choose(forward, configuration, step.now());
    if (runner.isEmpty()) {
      checkWait(forward, step);
      return false;
    }
    if (forward.attempts() > 0 && !sender.tryAcquireRetry(forward, step.now())) {
      pending.giveUp(forward, "the retry budget is exhausted", step);
      return true;
    }
    sender.send(forward, runner.get(), configuration, step);
    queue.recordSent(forward, step.now());
    return true;
  }

  /** Ends the requests that are known to crash runners, except at runners that respond to them. */
  void refuseCrashing(GatewayStep step) {
    pending.all().forEach(forward -> endIfCrashing(forward, step));
  }

  /**
   * Ends a request that is known to crash runners, unless a runner responds to it.
   *
   * @return whether it was ended
   */
  private boolean endIfCrashing(PendingForward forward, GatewayStep step) {
    if (forward.answerStarted() && forward.isLive()) {
      return false;
    }
    Optional<CrashRefusal> found = crashGuard.refusal(forward.traits(), step.now());
    found.ifPresent(
        refusal -> {
          ForwardLog.refusedAsCrashing(forward.request(), forward.state().name(), refusal, step);
          pending.endCrashing(forward, Duration.ofMillis(refusal.remainingMillis()), step);
        });
    return found.isPresent();
  }

  // Timeouts

  private void checkWait(PendingForward forward, GatewayStep step) {
    Duration waitTimeLeft = forward.waitTimeLeft(step.now());
    Optional<Duration> startsIn = startsIn(forward, step.now());
    Optional<SlotForecast.Wait> slotWait = queue.slotWait(forward, step.now());
    forward.updateSlotWait(slotWait);
    if (queue.isFair(forward)
        && !runnerStates.holders(forward.service(), forward.model(), forward.adapter()).isEmpty()) {
      queue.recordPressure(forward, step.now());
    }
    switch (WaitRule.decide(waitTimeLeft, startsIn, slotWait, !forward.hasWaited())) {
      case WaitRule.Decision.Wait wait -> {
        queue.target(forward, step.now()).recordWaiting(step.now());
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
      stalls.check(forward, configuration, step);
      return;
    }
    forward
        .runner()
        .ifPresent(runner -> results.recordFailure(runner, "no response in time", false, step));
    completionEstimator.recordEnd(forward, step.now());
    pending.expire(forward, step);
  }

  // Results

  /** Handles the progress or the result of an attempt. */
  void acceptResult(GatewayEvent.AttemptUpdated update, GatewayStep step) {
    results.accept(update, step);
  }

  void acceptDisconnect(long exchange, GatewayStep step) {
    pending
        .get(exchange)
        .ifPresent(
            forward -> {
              completionEstimator.recordEnd(forward, step.now());
              pending.giveBackCost(forward, step);
              pending.cancelAttempts(forward, step);
              ForwardLog.callerDisconnected(forward, step);
              pending.remove(forward);
            });
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

  /** Returns whether a request waits for the decision on its cost, so that it is no demand yet. */
  boolean waitsForAllowance(ForwardRequest request) {
    return pending.get(request.exchange()).flatMap(PendingForward::allowanceWait).isPresent();
  }

  /**
   * Returns whether requests that had waited for their allowance were admitted since the previous
   * call.
   */
  boolean takeAdmittedLater() {
    boolean taken = admittedLater;
    admittedLater = false;
    return taken;
  }

  int size() {
    return pending.size();
  }
}
