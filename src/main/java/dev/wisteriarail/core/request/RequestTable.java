package dev.wisteriarail.core.request;

import dev.wisteriarail.core.Deadlines;
import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.log.RecordBody.IntentChange;
import dev.wisteriarail.core.peer.Demand;
import dev.wisteriarail.core.request.PendingRequest.Phase;
import dev.wisteriarail.core.result.Execution;
import dev.wisteriarail.core.routing.Router;
import dev.wisteriarail.core.routing.RunnerTable;
import dev.wisteriarail.core.state.ReplicatedState;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The pending requests of a node's callers. Every request gets exactly one outcome.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class RequestTable {

  private static final Duration QUEUE_REVIEW_INTERVAL = Duration.ofMillis(100);
  private static final Duration AVOIDANCE_AFTER_REFUSAL = Duration.ofMillis(200);
  private static final Duration AVOIDANCE_AFTER_BROKEN_ANSWER = Duration.ofHours(1);
  private static final Comparator<PendingRequest> BY_TIMEOUT =
      Comparator.comparing(PendingRequest::timeoutAt).thenComparingLong(PendingRequest::sequence);

  private final IntentTable intents = IntentTable.create(IntentLimits.DEFAULT);
  private final IntentGate intentGate;
  private final Admission admission = Admission.create();
  private final WaitingQueue queue = WaitingQueue.create();
  private final StartTimeEstimator estimator = StartTimeEstimator.create();
  private final DemandCounter demand = new DemandCounter();
  private final DeadlineCheck deadlineCheck = DeadlineCheck.create(estimator, demand);
  private final RetryPolicy retryPolicy;
  private final PoisonGuard poisonGuard;
  private final RunningAttempts attempts;
  private final Dispatcher dispatcher;
  private final Map<RequestId, PendingRequest> requests = new LinkedHashMap<>();
  private final TreeSet<PendingRequest> byTimeout = new TreeSet<>(BY_TIMEOUT);
  private final TreeSet<PendingRequest> delayed = new TreeSet<>(WaitingQueue.BY_DEADLINE);
  private Instant nextReview = Instant.EPOCH;
  private long sequence;
  private final List<RecordBody.CrashSuspected> restoredCrashes = new ArrayList<>();

  private RequestTable(NodeSettings settings) {
    intentGate = IntentGate.create(settings, IntentLimits.DEFAULT, intents);
    retryPolicy = RetryPolicy.create(settings);
    poisonGuard = PoisonGuard.create(settings);
    attempts = RunningAttempts.create(settings);
    Router router = Router.create(settings.failureDomain(), RetryPolicy.seedOf(settings));
    dispatcher = new Dispatcher(queue, attempts, estimator, retryPolicy, router, poisonGuard);
  }

  /** Returns the table of a node without requests. */
  public static RequestTable create(NodeSettings settings) {
    return new RequestTable(settings);
  }

  // Callers

  /** Accepts a new request: queues it, holds it until its intent is recorded, or refuses it. */
  public void accept(InboundRequest request, RequestContext context) {
    Step step = context.step();
    Configuration configuration = context.configuration();
    Optional<Refusal> refusal =
        admission
            .check(request, configuration, queue.size(request.customer()), step.now())
            .or(() -> poisonGuard.check(request, false, step.now()));
    if (refusal.isPresent()) {
      step.emit(new Effect.EndRequest(request.id(), new RequestOutcome.Refused(refusal.get())));
      return;
    }
    PendingRequest pending = register(request, configuration, step.now());
    demand.recordArrival(request.target());
    Optional<Refusal> late = deadlineCheck.checkArrival(pending, queue, context);
    late.ifPresent(lateRefusal -> endWithRefusal(pending, lateRefusal, context.step()));
    if (late.isPresent()) {
      return;
    }
    if (pending.atMostOnce()) {
      pending.hold();
      intentGate.add(pending);
      applyIntentDecision(pending, context);
    } else {
      queue.add(pending);
    }
  }

  private PendingRequest register(
      InboundRequest request, Configuration configuration, Instant now) {
    KindSpec kind = configuration.kinds().get(request.kind());
    sequence++;
    PendingRequest pending =
        new PendingRequest(
            sequence,
            request,
            Admission.effectiveUrgency(request, kind),
            now,
            now.plus(Admission.effectiveDeadline(request, kind, configuration)),
            Admission.needsIntent(request, kind, configuration));
    requests.put(request.id(), pending);
    byTimeout.add(pending);
    return pending;
  }

  /**
   * Handles the disconnect of a caller. Its request is cancelled, except for a non-repeatable
   * request that was dispatched, which keeps running so that a retry with the same key gets its
   * answer.
   */
  public void acceptCallerDisconnect(RequestId request, RunnerTable runners, Step step) {
    PendingRequest pending = requests.get(request);
    if (pending == null || pending.callerDisconnected()) {
      return;
    }
    step.log(EventCode.CALLER_LEFT, "request", request);
    pending.markCallerDisconnected();
    if (pending.phase() == Phase.DISPATCHED && pending.atMostOnce()) {
      return;
    }
    if (pending.phase() == Phase.DISPATCHED) {
      poisonGuard.recordAttemptEnd(pending);
      attempts.cancel(pending, runners, step);
    }
    close(pending);
  }

  // Attempts

  /**
   * Forwards a chunk of an answer to the caller. A chunk that was already delivered or that belongs
   * to a superseded attempt is dropped. If a chunk is missing, the attempt is cancelled and handled
   * as broken, so that the answer can be resumed at the missing chunk.
   */
  public void acceptProgress(Event.AttemptProgressed progress, RequestContext context) {
    Optional<PendingRequest> found = attempts.find(progress.attempt());
    if (found.isEmpty() || progress.position() < found.get().deliveredChunks()) {
      return;
    }
    PendingRequest pending = found.get();
    if (progress.position() > pending.deliveredChunks()) {
      attempts.cancel(pending, context.runners(), context.step());
      fail(pending, new AttemptOutcome.Broken("a chunk of the answer is missing", false), context);
      return;
    }
    pending.addChunk(progress.text());
    Instant now = context.step().now();
    if (pending.timeoutAt().isBefore(now.plus(PendingRequest.STALL_LIMIT.dividedBy(2)))) {
      byTimeout.remove(pending);
      pending.restartStallTimeout(now);
      byTimeout.add(pending);
    }
    if (!pending.callerDisconnected()) {
      context
          .step()
          .emit(
              new Effect.AnswerChunk(pending.request().id(), progress.position(), progress.text()));
    }
  }

  /** Handles the end of an attempt. */
  public void acceptAttemptEnd(Event.AttemptEnded ended, RequestContext context) {
    Optional<PendingRequest> found = attempts.finish(ended.attempt(), context.runners());
    if (found.isEmpty()) {
      return;
    }
    PendingRequest pending = found.get();
    if (ended.outcome() instanceof AttemptOutcome.Completed completed) {
      complete(pending, completed.status(), context);
    } else {
      fail(pending, ended.outcome(), context);
    }
  }

  private void complete(PendingRequest pending, int status, RequestContext context) {
    Step step = context.step();
    Duration slotTime = Duration.between(pending.startedAt(), step.now());
    estimator.record(pending.target(), slotTime);
    int weight = StartTimeEstimator.weight(pending.request().customer(), context.configuration());
    queue.correctCharge(pending, slotTime.toNanos() / 1e9, weight);
    poisonGuard.recordAttemptEnd(pending);
    poisonGuard.recordSuccess(pending, step);
    if (pending.atMostOnce()) {
      intentGate.recordAnswer(pending, status);
    }
    end(pending, new RequestOutcome.Completed(status), step);
  }

  private void fail(PendingRequest pending, AttemptOutcome outcome, RequestContext context) {
    Step step = context.step();
    poisonGuard.recordAttemptEnd(pending);
    boolean broken = outcome instanceof AttemptOutcome.Broken;
    Instant avoidUntil =
        step.now().plus(broken ? AVOIDANCE_AFTER_BROKEN_ANSWER : AVOIDANCE_AFTER_REFUSAL);
    byTimeout.remove(pending);
    pending.recordFailure(
        outcome, avoidUntil, context.runners().incarnation(pending.runner().orElseThrow()));
    byTimeout.add(pending);
    if (outcome instanceof AttemptOutcome.Broken lost && lost.backendLost()) {
      context.runners().markUnreachable(pending.runner().orElseThrow());
      boolean poisoned = poisonGuard.recordCrash(pending, context.runners(), step);
      if (poisoned) {
        refusePoison(context);
      }
      Optional<Refusal> refusal =
          poisonGuard.check(pending.request(), pending.mayHaveReachedBackend(), step.now());
      if (refusal.isPresent()) {
        endWithRefusal(pending, refusal.get(), step);
        return;
      }
    }
    applyRetryDecision(pending, retryPolicy.decide(pending, outcome), outcome, context);
  }

  private void applyRetryDecision(
      PendingRequest pending,
      RetryPolicy.Decision decision,
      AttemptOutcome outcome,
      RequestContext context) {
    Step step = context.step();
    switch (decision) {
      case RetryPolicy.Decision.GiveUp giveUp -> endWithRefusal(pending, giveUp.refusal(), step);
      case RetryPolicy.Decision.Resume resume -> {
        pending.countResume();
        byTimeout.remove(pending);
        attempts.start(pending, pending.route().orElseThrow(), context.runners(), step);
        byTimeout.add(pending);
        poisonGuard.recordAttemptStart(pending);
      }
      case RetryPolicy.Decision.Retry retry -> {
        byTimeout.remove(pending);
        pending.delayUntil(step.now().plus(retry.delay()));
        byTimeout.add(pending);
        delayed.add(pending);
        step.log(EventCode.REQUEST_RETRIED, "request", pending.request().id(), "reason", outcome);
      }
    }
  }

  // Log, runners and peers

  /**
   * Records that the log dropped records before this node read them. New idempotency keys are
   * refused until a snapshot is restored.
   */
  public void markIncomplete() {
    intents.markIncomplete();
  }

  /** Handles a record read from the log. */
  public void acceptRecord(RecordBody body, RequestContext context) {
    dispatcher.unblockAll();
    for (PendingRequest pending : intentGate.acceptRecord(body, requests::containsKey)) {
      applyIntentDecision(pending, context);
    }
    if (poisonGuard.acceptRecord(body, context.step())) {
      refusePoison(context);
    }
  }

  /** Handles the outcome of an append. */
  public void acceptAppend(RecordId record, AppendOutcome outcome, Instant now) {
    intentGate.acceptAppend(record, outcome, now);
  }

  /** Handles a report of a runner. */
  public void acceptReport(EngineReport report, Step step) {
    poisonGuard.acceptReport(report, step);
  }

  /** Accepts changes of idempotency keys that another node offers for the next append. */
  public void acceptIntentOffer(List<IntentChange> changes) {
    intentGate.acceptOffer(changes);
  }

  /** Returns the used idempotency keys, as a part of the state replicated through the log. */
  public ReplicatedState usedKeys() {
    return new IntentSnapshotter(
        intents::snapshot, snapshot -> intentGate.restore(snapshot, requests::containsKey));
  }

  /** Returns the crashes of backend servers, as a part of the state replicated through the log. */
  public ReplicatedState crashes() {
    return new CrashSnapshotter(poisonGuard::crashes, restoredCrashes::addAll);
  }

  // Progress

  /** Dispatches requests that can run, and refuses those that cannot start in time. */
  public void advance(RequestContext context) {
    Instant now = context.step().now();
    poisonGuard.restore(restoredCrashes, now);
    restoredCrashes.clear();
    for (PendingRequest held : intentGate.heldRequests()) {
      applyIntentDecision(held, context);
    }
    while (!byTimeout.isEmpty() && !now.isBefore(byTimeout.first().timeoutAt())) {
      handleTimeout(byTimeout.first(), context);
    }
    if (!queue.isEmpty() && !now.isBefore(nextReview)) {
      nextReview = now.plus(QUEUE_REVIEW_INTERVAL);
      dispatcher.unblockAll();
      refuseLateColdStarts(context);
    }
    dispatcher.dispatch(context);
    intentGate.advance(context);
    poisonGuard.advance(context.step(), context.logDown());
  }

  private void handleTimeout(PendingRequest pending, RequestContext context) {
    Step step = context.step();
    boolean deadlinePassed = !step.now().isBefore(pending.deadline());
    switch (pending.phase()) {
      case HELD -> endWithRefusal(pending, intentGate.refusalAtDeadline(pending), step);
      case QUEUED -> endWithRefusal(pending, Refusals.deadlinePassed(pending), step);
      case DELAYED -> {
        if (deadlinePassed) {
          endWithRefusal(pending, Refusals.deadlinePassed(pending), step);
        } else {
          requeue(pending);
        }
      }
      default -> handleAttemptTimeout(pending, context);
    }
  }

  private void requeue(PendingRequest pending) {
    delayed.remove(pending);
    byTimeout.remove(pending);
    pending.queue();
    byTimeout.add(pending);
    queue.add(pending);
  }

  /** Ends an attempt whose answer did not start before the deadline or has stalled. */
  private void handleAttemptTimeout(PendingRequest pending, RequestContext context) {
    Step step = context.step();
    boolean awaitsFirstChunk = pending.deliveredChunks() == 0 && !pending.callerDisconnected();
    if (pending.atMostOnce() && awaitsFirstChunk) {
      detach(pending, step);
      return;
    }
    attempts.cancel(pending, context.runners(), step);
    if (awaitsFirstChunk) {
      poisonGuard.recordAttemptEnd(pending);
      endWithRefusal(pending, Refusals.deadlinePassed(pending), step);
    } else {
      fail(pending, new AttemptOutcome.Broken("the answer stalled", false), context);
    }
  }

  /**
   * Refuses a non-repeatable request to its caller but lets it keep running, so that a retry with
   * the same key gets its answer.
   */
  private void detach(PendingRequest pending, Step step) {
    Refusal refusal = Refusals.stillRunning();
    step.emit(new Effect.EndRequest(pending.request().id(), new RequestOutcome.Refused(refusal)));
    pending.markCallerDisconnected();
    byTimeout.remove(pending);
    pending.restartStallTimeout(step.now());
    byTimeout.add(pending);
  }

  private void applyIntentDecision(PendingRequest pending, RequestContext context) {
    switch (intentGate.decide(pending, context, requests::containsKey)) {
      case IntentDecision.Wait wait -> {}
      case IntentDecision.Run run -> {
        intentGate.remove(pending);
        pending.queue();
        queue.add(pending);
      }
      case IntentDecision.Answer answer -> {
        RequestId id = pending.request().id();
        context.step().emit(new Effect.AnswerChunk(id, 0, answer.body()));
        end(pending, new RequestOutcome.Completed(answer.status()), context.step());
      }
      case IntentDecision.Refuse refuse ->
          endWithRefusal(pending, refuse.refusal(), context.step());
    }
  }

  // Refusals

  private void refuseLateColdStarts(RequestContext context) {
    for (Collection<PendingRequest> group : queue.groups()) {
      for (PendingRequest pending : List.copyOf(group)) {
        Optional<Refusal> late = deadlineCheck.checkColdStart(pending, context);
        late.ifPresent(refusal -> endWithRefusal(pending, refusal, context.step()));
        if (late.isEmpty()) {
          break;
        }
      }
    }
  }

  /**
   * Ends every request because the node stops. A non-repeatable request that was dispatched keeps
   * running on its backend server.
   */
  public void endAll(RequestContext context) {
    for (PendingRequest pending : List.copyOf(requests.values())) {
      if (pending.phase() == Phase.DISPATCHED && !pending.atMostOnce()) {
        attempts.cancel(pending, context.runners(), context.step());
      }
      endWithRefusal(
          pending,
          pending.phase() == Phase.HELD
              ? intentGate.refusalAtDeadline(pending)
              : Refusals.nodeStopping(pending),
          context.step());
    }
  }

  private void refusePoison(RequestContext context) {
    for (PendingRequest pending : List.copyOf(requests.values())) {
      if (pending.phase() != Phase.DISPATCHED) {
        poisonGuard
            .check(pending.request(), pending.mayHaveReachedBackend(), context.step().now())
            .ifPresent(refusal -> endWithRefusal(pending, refusal, context.step()));
      }
    }
  }

  /** Ends a request with a refusal, and records in the log if it must not run again. */
  private void endWithRefusal(PendingRequest pending, Refusal refusal, Step step) {
    if (pending.atMostOnce()
        && refusal.execution() != Execution.NOT_RUN
        && pending.mayHaveReachedBackend()) {
      intentGate.recordUnresolved(pending, refusal.execution(), refusal.detail());
    }
    end(pending, new RequestOutcome.Refused(refusal), step);
  }

  private void end(PendingRequest pending, RequestOutcome outcome, Step step) {
    if (requests.containsKey(pending.request().id()) && !pending.callerDisconnected()) {
      step.emit(new Effect.EndRequest(pending.request().id(), outcome));
    }
    close(pending);
  }

  private void close(PendingRequest pending) {
    requests.remove(pending.request().id());
    byTimeout.remove(pending);
    delayed.remove(pending);
    queue.remove(pending);
    if (pending.atMostOnce()) {
      intentGate.close(pending);
    }
  }

  // Accessors

  /** Returns the demand of this node's callers and resets the arrival counts. */
  public List<Demand> collectDemand(Instant now) {
    List<Collection<PendingRequest>> waiting = new ArrayList<>(queue.groups());
    intentGate.heldRequests().forEach(pending -> waiting.add(List.of(pending)));
    delayed.forEach(pending -> waiting.add(List.of(pending)));
    return demand.collect(waiting, attempts.inFlightByTarget(), now);
  }

  /** Returns whether there is demand to report to the controller. */
  public boolean hasDemand() {
    return !requests.isEmpty() || demand.expectsRetries();
  }

  /**
   * Returns whether no request is pending and every change of idempotency keys has been read back.
   * While the log is down, the node does not wait for changes to be read back.
   */
  public boolean isDrained(boolean logDown) {
    return requests.isEmpty() && (logDown || intentGate.allChangesConfirmed());
  }

  /** Returns when {@link #advance} has to run even if no event arrives. */
  public Optional<Instant> nextWakeUp() {
    Optional<Instant> due =
        byTimeout.isEmpty() ? Optional.empty() : Optional.of(byTimeout.first().timeoutAt());
    Optional<Instant> reviewAt = queue.isEmpty() ? Optional.empty() : Optional.of(nextReview);
    Optional<Instant> records =
        Deadlines.earliest(intentGate.nextWakeUp(), poisonGuard.nextWakeUp());
    return Deadlines.earliest(Deadlines.earliest(due, reviewAt), records);
  }
}
