package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.FairQueue;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.RequestTrait;
import dev.wisteriarail.core.forward.SlotForecast;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * State of a request from its arrival until it ends.
 *
 * <p>Not thread-safe.
 */
final class PendingForward {

  /** Progress of the request. The names of the constants are written to the log. */
  enum State {
    /** No runner has the request. */
    WAITING,
    /** A runner has the request, and the caller has received nothing. */
    SENT,
    /** The caller has received a part of the response. */
    ANSWERING
  }

  /** Time of an engine for a token of the answer, in the time for a token of the prompt. */
  private static final int ANSWER_TOKEN_COST = 10;

  private final ForwardRequest request;
  private final RouteSpec route;
  private final String service;
  private final Optional<TenantSpec> tenant;
  private final Instant arrivedAt;
  private final Instant deadline;
  private final List<RequestTrait> traits = new ArrayList<>();
  private final Set<String> runnersThatMayHaveRun = new HashSet<>();
  private State state = State.WAITING;
  private int attempts;
  private int rejections;
  private int localFaults;
  private boolean mayHaveRun;
  private Optional<AllowanceWait> allowanceWait = Optional.empty();
  private Duration waitedForAllowance = Duration.ZERO;
  private Optional<CostSource> costSource = Optional.empty();
  private final List<LiveAttempt> live = new ArrayList<>();
  private Optional<RunnerEntry> lastRunner = Optional.empty();
  private Optional<String> lastEvent = Optional.empty();
  private Optional<LiveAttempt> paused = Optional.empty();
  private boolean answerStarted;
  private Instant startedAt = Instant.MIN;
  private Instant notBefore = Instant.MIN;
  private Instant sentAt = Instant.MIN;
  private Instant lastProgressAt = Instant.MIN;
  private Instant waitingSince;
  private boolean waitLogged;
  private final String target;
  private final String engineTarget;
  private final FairQueue.Ticket ticket;
  private Optional<SlotForecast.Wait> slotWait = Optional.empty();
  private long passedTokens;

  private PendingForward(
      ForwardRequest request,
      RouteSpec route,
      String service,
      Optional<TenantSpec> tenant,
      Instant arrivedAt) {
    this.request = request;
    this.route = route;
    this.service = service;
    this.tenant = tenant;
    this.arrivedAt = arrivedAt;
    waitingSince = arrivedAt;
    traits.add(request.callerContent(tenant.map(TenantSpec::name)));
    traits.add(request.content());
    traits.addAll(request.sharedParts());
    Duration callerTimeout = request.callerTimeout().orElse(route.timeout());
    deadline =
        arrivedAt.plus(
            callerTimeout.compareTo(route.timeout()) < 0 ? callerTimeout : route.timeout());
    engineTarget = service + "/" + model();
    target = engineTarget + "/" + adapter();
    ticket =
        FairQueue.Ticket.of(
            service,
            target,
            rank(),
            tenant.map(TenantSpec::name).orElse(""),
            Math.max(
                1, request.promptTokens() + (double) ANSWER_TOKEN_COST * request.answerTokens()),
            arrivedAt);
  }

  static PendingForward of(
      ForwardRequest request,
      RouteSpec route,
      String service,
      Optional<TenantSpec> tenant,
      Instant arrivedAt) {
    return new PendingForward(request, route, service, tenant, arrivedAt);
  }

  // Changes

  /**
   * Records that the request is sent to a runner. Earlier attempts stay live.
   *
   * @return the new attempt
   */
  LiveAttempt send(RunnerEntry target, Instant now) {
    if (live.isEmpty()) {
      state = answerStarted ? State.ANSWERING : State.SENT;
      sentAt = answerStarted ? sentAt : now;
      lastProgressAt = now;
    }
    LiveAttempt attempt = new LiveAttempt(++attempts, target, now);
    live.add(attempt);
    return attempt;
  }

  /** Records that an attempt has ended. The request may be requeued or ended afterwards. */
  void endAttempt(LiveAttempt attempt) {
    live.remove(attempt);
    paused = paused.filter(each -> !each.equals(attempt));
    lastRunner = Optional.of(attempt.runner());
    if (!live.isEmpty() && !answerStarted) {
      sentAt = live.getFirst().sentAt();
    }
  }

  void markStarted(Instant now) {
    answerStarted = true;
    startedAt = now;
    state = State.ANSWERING;
    lastProgressAt = now;
  }

  void markProgress(Instant now) {
    lastProgressAt = now;
  }

  /** Records that an attempt receives nothing until its caller has read what was relayed. */
  void pause(LiveAttempt attempt) {
    paused = Optional.of(attempt);
  }

  /** Records that a paused attempt receives its response again. */
  void resume(LiveAttempt attempt, Instant now) {
    paused = paused.filter(each -> !each.equals(attempt));
    lastProgressAt = now;
  }

  /** Records that a runner may have executed the request. */
  void markMayHaveRun(RunnerEntry runner) {
    mayHaveRun = true;
    runnersThatMayHaveRun.add(runner.id());
  }

  /** Records that the runners of all live attempts may have executed the request. */
  void markLiveMayHaveRun() {
    live.forEach(attempt -> markMayHaveRun(attempt.runner()));
  }

  /** Sets the time before which the request is not sent to another runner. */
  void postpone(Instant newNotBefore) {
    notBefore = newNotBefore;
  }

  /** Begins the wait for the decision on the request's cost. */
  void awaitAllowance(AllowanceWait wait) {
    allowanceWait = Optional.of(wait);
  }

  /** Ends the wait: the request is admitted, or has ended. */
  void endAllowanceWait(Instant now) {
    waitedForAllowance = allowanceWait.map(wait -> wait.waited(now)).orElse(Duration.ZERO);
    allowanceWait = Optional.empty();
  }

  /** Returns how long the request waited for its allowance before it was admitted. */
  Duration waitedForAllowance() {
    return waitedForAllowance;
  }

  /** Returns whether the request is admitted and no runner has it. */
  boolean waitsForRunner() {
    return state == State.WAITING && allowanceWait.isEmpty();
  }

  /** Returns the wait for the decision on the request's cost; empty if there is none. */
  Optional<AllowanceWait> allowanceWait() {
    return allowanceWait;
  }

  /** Records who gave the request's cost. */
  void markCostTaken(CostSource source) {
    costSource = Optional.of(source);
  }

  /** Returns who gave the request's cost; empty if it was not taken. */
  Optional<CostSource> costSource() {
    return costSource;
  }

  /** Who gives the cost of a request. */
  enum CostSource {
    /** This node's share of the tenant's allowance. */
    SHARE,
    /** The owner of the tenant. */
    OWNER
  }

  /** Records that a runner did not execute the request. */
  void markRejected() {
    rejections++;
  }

  /** Records that this node failed while sending the request. */
  void markLocalFault() {
    localFaults++;
  }

  /**
   * Returns the request to the queue.
   *
   * @param newNotBefore time before which it is not sent again
   */
  void requeue(Instant newNotBefore, Instant now) {
    state = State.WAITING;
    lastRunner = Optional.empty();
    notBefore = newNotBefore;
    waitingSince = now;
  }

  void updateLastEvent(String event) {
    if (!event.isEmpty()) {
      lastEvent = Optional.of(event);
    }
  }

  /** Returns whether the request was found to wait before. */
  boolean hasWaited() {
    return waitLogged;
  }

  /** Marks the wait as logged. Returns whether it was not logged before. */
  boolean markWaitLogged() {
    boolean first = !waitLogged;
    waitLogged = true;
    return first;
  }

  /** Records the expected wait for a slot on which the last decision was based. */
  void updateSlotWait(Optional<SlotForecast.Wait> newSlotWait) {
    slotWait = newSlotWait;
  }

  /** Records that a smaller request got a slot before this one, which came first. */
  void recordPassed(PendingForward other) {
    passedTokens += other.tokens();
  }

  // Accessors

  /** Returns what the request needs of a runner: its service, model and adapter. */
  String target() {
    return target;
  }

  /** Returns the service and the model. */
  String engineTarget() {
    return engineTarget;
  }

  /** Returns the place in the order of waiting requests. */
  FairQueue.Ticket ticket() {
    return ticket;
  }

  /** Returns the expected wait for a slot on which the last decision was based. */
  Optional<SlotForecast.Wait> slotWait() {
    return slotWait;
  }

  /**
   * Returns whether a request that came later may get a slot before this one: it is smaller, and
   * those that passed did not take more tokens than this one needs.
   */
  boolean mayBePassedBy(PendingForward other) {
    return other.tokens() < tokens() && passedTokens + other.tokens() <= tokens();
  }

  ForwardRequest request() {
    return request;
  }

  long exchange() {
    return request.exchange();
  }

  RouteSpec route() {
    return route;
  }

  String service() {
    return service;
  }

  /** Returns the tenant of the caller; empty where callers are not told apart. */
  Optional<TenantSpec> tenant() {
    return tenant;
  }

  /** Returns the urgency: the priority of the tenant, or else the rank of the route. */
  int rank() {
    return tenant.map(each -> each.rank(route.rank())).orElse(route.rank());
  }

  /** Returns what the request takes from the allowance of its tenant. */
  double cost() {
    return tenant.map(each -> each.allowance().cost(request)).orElse(0.0);
  }

  String model() {
    return request.model().orElse("");
  }

  String adapter() {
    return request.adapter().orElse("");
  }

  long tokens() {
    return (long) request.promptTokens() + request.answerTokens();
  }

  State state() {
    return state;
  }

  int attempts() {
    return attempts;
  }

  int rejections() {
    return rejections;
  }

  int localFaults() {
    return localFaults;
  }

  boolean mayHaveRun() {
    return mayHaveRun;
  }

  boolean answerStarted() {
    return answerStarted;
  }

  /** Returns when an attempt last began to write the response. */
  Instant startedAt() {
    return startedAt;
  }

  /** Returns the attempts that have not ended, the oldest first. */
  List<LiveAttempt> live() {
    return List.copyOf(live);
  }

  /** Returns the attempt with a number if it has not ended. */
  Optional<LiveAttempt> live(int number) {
    return live.stream().filter(attempt -> attempt.number() == number).findFirst();
  }

  /** Returns whether a runner has the request. */
  boolean isLive() {
    return !live.isEmpty();
  }

  /**
   * Returns the runner of the oldest live attempt, or that of the attempt that ended last if the
   * request has not been requeued.
   */
  Optional<RunnerEntry> runner() {
    return isLive() ? Optional.of(live.getFirst().runner()) : lastRunner;
  }

  Optional<String> lastEvent() {
    return lastEvent;
  }

  Set<String> runnersThatMayHaveRun() {
    return runnersThatMayHaveRun;
  }

  Instant arrivedAt() {
    return arrivedAt;
  }

  Instant deadline() {
    return deadline;
  }

  Instant notBefore() {
    return notBefore;
  }

  /** Returns the content and the shared parts of the request. */
  List<RequestTrait> traits() {
    return traits;
  }

  /** Returns whether an attempt waits for its caller, so that its runner is not silent. */
  boolean isPaused() {
    return paused.isPresent();
  }

  /** Returns the time since the last byte of the response or since the newest live attempt. */
  Duration silence(Instant now) {
    Instant newestSentAt = live.getLast().sentAt();
    return Duration.between(
        lastProgressAt.isAfter(newestSentAt) ? lastProgressAt : newestSentAt, now);
  }

  /**
   * Returns how long the request has been with runners since it last waited before the start of its
   * response.
   */
  Duration runTime(Instant now) {
    boolean waitsForFirstAnswer = state == State.WAITING && !answerStarted;
    return waitsForFirstAnswer ? Duration.ZERO : Duration.between(sentAt, now);
  }

  /** Returns whether no runner can have executed the request. */
  boolean isUnexecuted() {
    return !answerStarted && !mayHaveRun;
  }

  Duration timeLeft(Instant now) {
    return Duration.between(now, deadline);
  }

  /** Returns how long the caller still waits for the next byte. */
  Duration waitTimeLeft(Instant now) {
    Instant waitDeadline =
        (answerStarted ? waitingSince : arrivedAt).plus(route.firstByteTimeout());
    return Duration.between(now, waitDeadline.isBefore(deadline) ? waitDeadline : deadline);
  }
}
