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
 * The requests of a node's callers, from arrival to their one ending.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class RequestTable {

  private static final Duration REVIEW_INTERVAL = Duration.ofMillis(100);
  private static final Duration AVOID_AFTER_REFUSAL = Duration.ofMillis(200);
  private static final Duration AVOID_AFTER_BREAK = Duration.ofHours(1);
  private static final Comparator<PendingRequest> BY_DUE =
      Comparator.comparing(PendingRequest::due).thenComparingLong(PendingRequest::sequence);

  private final IntentLedger ledger = IntentLedger.create(IntentLimits.DEFAULT);
  private final IntentGate gate;
  private final Admission admission = Admission.create();
  private final WaitingQueue queue = WaitingQueue.create();
  private final StartEstimator estimator = StartEstimator.create();
  private final DemandTally demand = new DemandTally();
  private final StartCheck starts = StartCheck.create(estimator, demand);
  private final RetryPolicy retries;
  private final PoisonGuard poison;
  private final AttemptBook attempts;
  private final Dispatcher dispatcher;
  private final Map<RequestId, PendingRequest> requests = new LinkedHashMap<>();
  private final TreeSet<PendingRequest> byDue = new TreeSet<>(BY_DUE);
  private final TreeSet<PendingRequest> delayed = new TreeSet<>(WaitingQueue.BY_DEADLINE);
  private Instant nextReview = Instant.EPOCH;
  private long sequence;
  private final List<RecordBody.CrashSuspected> restoredCrashes = new ArrayList<>();

  private RequestTable(NodeSettings settings) {
    gate = IntentGate.create(settings, IntentLimits.DEFAULT, ledger);
    retries = RetryPolicy.create(settings);
    poison = PoisonGuard.create(settings);
    attempts = AttemptBook.create(settings);
    Router router = Router.create(settings.failureDomain(), RetryPolicy.seedOf(settings));
    dispatcher = new Dispatcher(queue, attempts, estimator, retries, router, poison);
  }

  /** Returns the table of a node without requests. */
  public static RequestTable create(NodeSettings settings) {
    return new RequestTable(settings);
  }

  // Callers

  /** Takes a new request: queues it, holds it back or refuses it. */
  public void accept(InboundRequest request, RequestContext context) {
    Step step = context.step();
    Configuration configuration = context.configuration();
    Optional<Refusal> refusal =
        admission
            .check(request, configuration, queue.size(request.customer()), step.now())
            .or(() -> poison.check(request, false, step.now()));
    if (refusal.isPresent()) {
      step.emit(new Effect.EndRequest(request.id(), new Ending.Refused(refusal.get())));
      return;
    }
    PendingRequest pending = open(request, configuration, step.now());
    demand.recordArrival(request.target());
    Optional<Refusal> late = starts.refuse(pending, queue, context);
    late.ifPresent(tooLate -> giveUp(pending, tooLate, context.step()));
    if (late.isPresent()) {
      return;
    }
    if (pending.onlyOnce()) {
      pending.hold();
      gate.add(pending);
      settle(pending, context);
    } else {
      queue.add(pending);
    }
  }

  private PendingRequest open(InboundRequest request, Configuration configuration, Instant now) {
    KindSpec kind = configuration.kinds().get(request.kind());
    sequence++;
    PendingRequest pending =
        new PendingRequest(
            sequence,
            request,
            Admission.urgency(request, kind),
            now,
            now.plus(Admission.deadline(request, kind, configuration)),
            Admission.needsIntent(request, kind, configuration));
    requests.put(request.id(), pending);
    byDue.add(pending);
    return pending;
  }

  /**
   * Takes that a caller has left. Its request is dropped, but for a non-repeatable one that was
   * handed over: that runs on, so that a repeat finds its answer.
   */
  public void acceptCallerLeft(RequestId request, RunnerTable runners, Step step) {
    PendingRequest pending = requests.get(request);
    if (pending == null || pending.callerLeft()) {
      return;
    }
    step.log(EventCode.CALLER_LEFT, "request", request);
    pending.leaveCaller();
    if (pending.phase() == Phase.DISPATCHED && pending.onlyOnce()) {
      return;
    }
    if (pending.phase() == Phase.DISPATCHED) {
      poison.recordEnd(pending);
      attempts.cancel(pending, runners, step);
    }
    close(pending);
  }

  // Attempts

  /**
   * Passes a piece of an answer on. A piece that was passed on before, or one of a superseded
   * attempt, is dropped; after a missing piece the answer is fetched again from there.
   */
  public void acceptProgress(Event.AttemptProgressed progress, RequestContext context) {
    Optional<PendingRequest> found = attempts.find(progress.attempt());
    if (found.isEmpty() || progress.position() < found.get().delivered()) {
      return;
    }
    PendingRequest pending = found.get();
    if (progress.position() > pending.delivered()) {
      attempts.cancel(pending, context.runners(), context.step());
      fail(pending, new AttemptOutcome.Broken("a piece of the answer is missing", false), context);
      return;
    }
    pending.addPiece(progress.text());
    Instant now = context.step().now();
    if (pending.due().isBefore(now.plus(PendingRequest.STALL_LIMIT.dividedBy(2)))) {
      byDue.remove(pending);
      pending.extend(now);
      byDue.add(pending);
    }
    if (!pending.callerLeft()) {
      context
          .step()
          .emit(
              new Effect.AnswerChunk(pending.request().id(), progress.position(), progress.text()));
    }
  }

  /** Takes the end of an attempt. */
  public void acceptEnd(Event.AttemptEnded ended, RequestContext context) {
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
    Duration held = Duration.between(pending.startedAt(), step.now());
    estimator.record(pending.target(), held);
    int weight = StartEstimator.weight(pending.request().customer(), context.configuration());
    queue.correct(pending, held.toNanos() / 1e9, weight);
    poison.recordEnd(pending);
    poison.recordSuccess(pending, step);
    if (pending.onlyOnce()) {
      gate.finish(pending, status);
    }
    end(pending, new Ending.Completed(status), step);
  }

  private void fail(PendingRequest pending, AttemptOutcome outcome, RequestContext context) {
    Step step = context.step();
    poison.recordEnd(pending);
    boolean broken = outcome instanceof AttemptOutcome.Broken;
    Instant avoidUntil = step.now().plus(broken ? AVOID_AFTER_BREAK : AVOID_AFTER_REFUSAL);
    byDue.remove(pending);
    pending.fail(
        outcome, avoidUntil, context.runners().incarnation(pending.runner().orElseThrow()));
    byDue.add(pending);
    if (outcome instanceof AttemptOutcome.Broken lost && lost.backendLost()) {
      context.runners().markUnreachable(pending.runner().orElseThrow());
      boolean poisoned = poison.recordCrash(pending, context.runners(), step);
      if (poisoned) {
        refusePoison(context);
      }
      Optional<Refusal> refusal = poison.check(pending.request(), pending.handedOver(), step.now());
      if (refusal.isPresent()) {
        giveUp(pending, refusal.get(), step);
        return;
      }
    }
    follow(pending, retries.decide(pending, outcome), outcome, context);
  }

  private void follow(
      PendingRequest pending,
      RetryPolicy.Decision decision,
      AttemptOutcome outcome,
      RequestContext context) {
    Step step = context.step();
    switch (decision) {
      case RetryPolicy.Decision.GiveUp giveUp -> giveUp(pending, giveUp.refusal(), step);
      case RetryPolicy.Decision.Resume resume -> {
        pending.countResume();
        byDue.remove(pending);
        attempts.start(pending, pending.route().orElseThrow(), context.runners(), step);
        byDue.add(pending);
        poison.recordStart(pending);
      }
      case RetryPolicy.Decision.Retry retry -> {
        byDue.remove(pending);
        pending.delayUntil(step.now().plus(retry.delay()));
        byDue.add(pending);
        delayed.add(pending);
        step.log(EventCode.REQUEST_RETRIED, "request", pending.request().id(), "reason", outcome);
      }
    }
  }

  // Log, runners and peers

  /** Notes that records were dropped before they were read; new keys are refused meanwhile. */
  public void markIncomplete() {
    ledger.markIncomplete();
  }

  /** Takes a record of the log. */
  public void acceptRecord(RecordBody body, RequestContext context) {
    dispatcher.retryBlocked();
    for (PendingRequest pending : gate.acceptRecord(body, requests::containsKey)) {
      settle(pending, context);
    }
    if (poison.acceptRecord(body, context.step())) {
      refusePoison(context);
    }
  }

  /** Takes what is known of an append. */
  public void acceptAppend(RecordId record, AppendOutcome outcome, Instant now) {
    gate.acceptAppend(record, outcome, now);
  }

  /** Takes a report of a runner. */
  public void acceptReport(EngineReport report, Step step) {
    poison.acceptReport(report, step);
  }

  /** Takes changes of keys that another node wants appended. */
  public void acceptIntents(List<IntentChange> changes) {
    gate.acceptOffer(changes);
  }

  /** Returns the state of the used keys as a part of what is folded from the log. */
  public ReplicatedState usedKeys() {
    return new IntentSnapshots(
        ledger::snapshot, snapshot -> gate.restore(snapshot, requests::containsKey));
  }

  /** Returns the crashes of backend servers as a part of what is folded from the log. */
  public ReplicatedState crashes() {
    return new CrashSnapshots(poison::crashes, restoredCrashes::addAll);
  }

  // Progress

  /** Dispatches what can run and refuses what cannot start in time. */
  public void advance(RequestContext context) {
    Instant now = context.step().now();
    poison.restore(restoredCrashes, now);
    restoredCrashes.clear();
    for (PendingRequest held : gate.held()) {
      settle(held, context);
    }
    while (!byDue.isEmpty() && !now.isBefore(byDue.first().due())) {
      handleDue(byDue.first(), context);
    }
    if (!queue.isEmpty() && !now.isBefore(nextReview)) {
      nextReview = now.plus(REVIEW_INTERVAL);
      dispatcher.retryBlocked();
      review(context);
    }
    dispatcher.dispatch(context);
    gate.advance(context);
    poison.advance(context.step(), context.logDown());
  }

  private void handleDue(PendingRequest pending, RequestContext context) {
    Step step = context.step();
    boolean late = !step.now().isBefore(pending.deadline());
    switch (pending.phase()) {
      case HELD -> giveUp(pending, gate.refusalAtDeadline(pending), step);
      case QUEUED -> giveUp(pending, LateRefusals.passed(pending), step);
      case DELAYED -> {
        if (late) {
          giveUp(pending, LateRefusals.passed(pending), step);
        } else {
          requeue(pending);
        }
      }
      default -> handleSilence(pending, context);
    }
  }

  private void requeue(PendingRequest pending) {
    delayed.remove(pending);
    byDue.remove(pending);
    pending.queue();
    byDue.add(pending);
    queue.add(pending);
  }

  /** Ends what did not start to answer by its deadline, or got stuck in its answer. */
  private void handleSilence(PendingRequest pending, RequestContext context) {
    Step step = context.step();
    boolean waitsForStart = pending.delivered() == 0 && !pending.callerLeft();
    if (pending.onlyOnce() && waitsForStart) {
      detach(pending, step);
      return;
    }
    attempts.cancel(pending, context.runners(), step);
    if (waitsForStart) {
      poison.recordEnd(pending);
      giveUp(pending, LateRefusals.passed(pending), step);
    } else {
      fail(pending, new AttemptOutcome.Broken("the answer got stuck", false), context);
    }
  }

  /** Ends the call of a non-repeatable request that runs on, so that a repeat finds its answer. */
  private void detach(PendingRequest pending, Step step) {
    Refusal refusal = LateRefusals.stillRunning();
    step.emit(new Effect.EndRequest(pending.request().id(), new Ending.Refused(refusal)));
    pending.leaveCaller();
    byDue.remove(pending);
    pending.extend(step.now());
    byDue.add(pending);
  }

  private void settle(PendingRequest pending, RequestContext context) {
    switch (gate.decide(pending, context, requests::containsKey)) {
      case IntentVerdict.Wait wait -> {}
      case IntentVerdict.Run run -> {
        gate.remove(pending);
        pending.queue();
        queue.add(pending);
      }
      case IntentVerdict.Answer answer -> {
        RequestId id = pending.request().id();
        context.step().emit(new Effect.AnswerChunk(id, 0, answer.answer()));
        end(pending, new Ending.Completed(answer.status()), context.step());
      }
      case IntentVerdict.Refuse refuse -> giveUp(pending, refuse.refusal(), context.step());
    }
  }

  // Refusals

  private void review(RequestContext context) {
    for (Collection<PendingRequest> group : queue.groups()) {
      for (PendingRequest pending : List.copyOf(group)) {
        Optional<Refusal> late = starts.refuseCold(pending, context);
        late.ifPresent(refusal -> giveUp(pending, refusal, context.step()));
        if (late.isEmpty()) {
          break;
        }
      }
    }
  }

  /** Ends every request, as the node ends; a non-repeatable one that was handed over runs on. */
  public void endAll(RequestContext context) {
    for (PendingRequest pending : List.copyOf(requests.values())) {
      if (pending.phase() == Phase.DISPATCHED && !pending.onlyOnce()) {
        attempts.cancel(pending, context.runners(), context.step());
      }
      giveUp(
          pending,
          pending.phase() == Phase.HELD
              ? gate.refusalAtDeadline(pending)
              : LateRefusals.nodeEnds(pending),
          context.step());
    }
  }

  private void refusePoison(RequestContext context) {
    for (PendingRequest pending : List.copyOf(requests.values())) {
      if (pending.phase() != Phase.DISPATCHED) {
        poison
            .check(pending.request(), pending.handedOver(), context.step().now())
            .ifPresent(refusal -> giveUp(pending, refusal, context.step()));
      }
    }
  }

  /** Ends a request without an answer, and lets the log know if it must not run again. */
  private void giveUp(PendingRequest pending, Refusal refusal, Step step) {
    if (pending.onlyOnce() && refusal.execution() != Execution.NOT_RUN && pending.handedOver()) {
      gate.leaveUnresolved(pending, refusal.execution(), refusal.detail());
    }
    end(pending, new Ending.Refused(refusal), step);
  }

  private void end(PendingRequest pending, Ending ending, Step step) {
    if (requests.containsKey(pending.request().id()) && !pending.callerLeft()) {
      step.emit(new Effect.EndRequest(pending.request().id(), ending));
    }
    close(pending);
  }

  private void close(PendingRequest pending) {
    requests.remove(pending.request().id());
    byDue.remove(pending);
    delayed.remove(pending);
    queue.remove(pending);
    if (pending.onlyOnce()) {
      gate.close(pending);
    }
  }

  // Accessors

  /** Returns what the callers of this node want, and forgets the counted arrivals. */
  public List<Demand> takeDemand(Instant now) {
    List<Collection<PendingRequest>> waiting = new ArrayList<>(queue.groups());
    gate.held().forEach(pending -> waiting.add(List.of(pending)));
    delayed.forEach(pending -> waiting.add(List.of(pending)));
    return demand.take(waiting, attempts.inFlightByTarget(), now);
  }

  /** Returns whether the controller has to be told of a want. */
  public boolean hasDemand() {
    return !requests.isEmpty() || demand.isExpecting();
  }

  /** Returns whether nothing is left to be done before the node may stop. */
  public boolean isFinished(boolean logDown) {
    return requests.isEmpty() && (logDown || gate.isRecorded());
  }

  /** Returns when something has to be done without an event. */
  public Optional<Instant> nextWakeUp() {
    Optional<Instant> due = byDue.isEmpty() ? Optional.empty() : Optional.of(byDue.first().due());
    Optional<Instant> reviewAt = queue.isEmpty() ? Optional.empty() : Optional.of(nextReview);
    Optional<Instant> records = Deadlines.earliest(gate.nextWakeUp(), poison.nextWakeUp());
    return Deadlines.earliest(Deadlines.earliest(due, reviewAt), records);
  }
}
