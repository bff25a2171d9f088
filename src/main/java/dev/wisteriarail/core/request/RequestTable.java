package dev.wisteriarail.core.request;

import dev.wisteriarail.core.Deadlines;
import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.ServiceSpec;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.log.RecordBody.IntentChange;
import dev.wisteriarail.core.peer.Demand;
import dev.wisteriarail.core.result.Execution;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.routing.Route;
import dev.wisteriarail.core.routing.Router;
import dev.wisteriarail.core.routing.RunnerTable;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The requests of a node's callers, from arrival to their one ending.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class RequestTable {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final NodeSettings settings;
  private final Router router;
  private final IntentLedger ledger = IntentLedger.create(IntentLimits.DEFAULT);
  private final IntentGate gate;
  private final Map<RequestId, PendingRequest> requests = new LinkedHashMap<>();
  private final Map<AttemptId, RequestId> attempts = new HashMap<>();
  private final Map<ModelId, Integer> arrivals = new TreeMap<>();
  private long attemptSequence;
  private long nextOffset;

  private RequestTable(NodeSettings settings, Router router) {
    this.settings = settings;
    this.router = router;
    gate = IntentGate.create(settings, IntentLimits.DEFAULT, ledger);
  }

  /** Returns the table of a node without requests. */
  public static RequestTable create(NodeSettings settings, Router router) {
    return new RequestTable(settings, router);
  }

  // Callers

  /** Takes a new request: queues it, holds it back or refuses it. */
  public void accept(InboundRequest request, RequestContext context) {
    Step step = context.step();
    Configuration configuration = context.configuration();
    Optional<Refusal> refusal = check(request, configuration);
    if (refusal.isPresent()) {
      step.emit(new Effect.EndRequest(request.id(), new Ending.Refused(refusal.get())));
      return;
    }
    KindSpec kind = configuration.kinds().get(request.kind());
    Duration limit = request.deadline().orElse(kind.deadline());
    PendingRequest pending =
        new PendingRequest(
            request,
            request.urgency().orElse(kind.urgency()),
            step.now(),
            step.now().plus(limit),
            needsIntent(request, kind, configuration));
    requests.put(request.id(), pending);
    if (request.target() instanceof Target.ModelTarget target) {
      arrivals.merge(target.model(), 1, Integer::sum);
    }
    if (pending.onlyOnce()) {
      pending.hold();
      gate.add(pending);
      settle(pending, context);
    }
  }

  /**
   * Takes that a caller has left. Its request is dropped, but for a non-repeatable one that was
   * handed over: that runs on, so that a repeat finds its answer.
   */
  public void acceptCallerLeft(RequestId request, RunnerTable runners, Step step) {
    PendingRequest pending = requests.get(request);
    if (pending == null) {
      return;
    }
    step.log(EventCode.CALLER_LEFT, "request", request);
    boolean dispatched = pending.phase() == PendingRequest.Phase.DISPATCHED;
    if (dispatched && pending.onlyOnce()) {
      pending.leaveCaller();
      return;
    }
    requests.remove(request);
    if (pending.onlyOnce()) {
      gate.giveUp(pending);
    }
    if (dispatched) {
      RunnerId runner = pending.runner().orElseThrow();
      attempts.remove(pending.attempt().orElseThrow());
      runners.removeAttempt(runner);
      step.emit(new Effect.CancelAttempt(pending.attempt().get(), runner));
    }
  }

  // Attempts

  /** Passes a piece of an answer on. A piece of a superseded attempt is dropped. */
  public void acceptProgress(Event.AttemptProgressed progress, Step step) {
    PendingRequest pending = find(progress.attempt());
    if (pending == null || progress.position() != pending.delivered()) {
      return;
    }
    pending.addPiece(progress.text());
    if (!pending.callerLeft()) {
      step.emit(
          new Effect.AnswerChunk(pending.request().id(), progress.position(), progress.text()));
    }
  }

  /** Takes the end of an attempt. */
  public void acceptEnd(Event.AttemptEnded ended, RunnerTable runners, Step step) {
    PendingRequest pending = find(ended.attempt());
    attempts.remove(ended.attempt());
    if (pending == null) {
      return;
    }
    runners.removeAttempt(pending.runner().orElseThrow());
    switch (ended.outcome()) {
      case AttemptOutcome.Completed completed -> complete(pending, completed.status(), step);
      case AttemptOutcome.NotHandedOver notHandedOver -> pending.queue();
      case AttemptOutcome.Rejected rejected -> {
        if (pending.onlyOnce()) {
          leaveUnresolved(pending, ResultCode.OUTCOME_UNKNOWN, rejected.reason(), step);
        } else {
          pending.queue();
        }
      }
      case AttemptOutcome.Broken broken ->
          leaveUnresolved(
              pending,
              pending.onlyOnce() ? ResultCode.OUTCOME_UNKNOWN : ResultCode.ANSWER_INCOMPLETE,
              broken.reason(),
              step);
    }
  }

  private void complete(PendingRequest pending, int status, Step step) {
    if (pending.onlyOnce()) {
      gate.finish(pending, status);
    }
    end(pending, new Ending.Completed(status), step);
  }

  private void leaveUnresolved(PendingRequest pending, ResultCode code, String reason, Step step) {
    if (pending.onlyOnce()) {
      gate.leaveUnresolved(pending, Execution.MAY_HAVE_RUN, reason);
    }
    end(pending, new Ending.Refused(Refusal.outcomeUnknown(code, reason)), step);
  }

  // Log and peers

  /** Notes where a read of the log began; a gap leaves the used keys incomplete. */
  public void acceptRead(Event.LogRead read) {
    if (read.firstOffset() > nextOffset) {
      ledger.markIncomplete();
    }
    nextOffset = Math.max(nextOffset, read.nextOffset());
  }

  /** Takes a record of the log. */
  public void acceptRecord(RecordBody body, RequestContext context) {
    for (PendingRequest pending : gate.acceptRecord(body, requests::containsKey)) {
      settle(pending, context);
    }
  }

  /** Takes what is known of an append. */
  public void acceptAppend(RecordId record, AppendOutcome outcome, Instant now) {
    gate.acceptAppend(record, outcome, now);
  }

  /** Takes changes of keys that another node wants appended. */
  public void acceptIntents(List<IntentChange> changes) {
    gate.acceptOffer(changes);
  }

  /** Returns the state of the used keys, for a snapshot. */
  public IntentSnapshot intentSnapshot() {
    return ledger.snapshot();
  }

  /** Takes the state of the used keys from a snapshot. */
  public void restoreIntents(IntentSnapshot snapshot, RequestContext context) {
    gate.restore(snapshot, requests::containsKey);
    gate.held().forEach(pending -> settle(pending, context));
  }

  // Progress

  /** Dispatches what can run and refuses what is past its deadline. */
  public void advance(RequestContext context) {
    Step step = context.step();
    for (PendingRequest held : gate.held()) {
      advanceHeld(held, context);
    }
    List<PendingRequest> waiting =
        requests.values().stream()
            .filter(pending -> pending.phase() == PendingRequest.Phase.QUEUED)
            .sorted(
                Comparator.comparing(PendingRequest::urgency)
                    .thenComparing(PendingRequest::deadline))
            .toList();
    for (PendingRequest pending : waiting) {
      if (!step.now().isBefore(pending.deadline())) {
        refuseLate(pending, step);
        continue;
      }
      router
          .choose(pending.request(), context.configuration(), context.runners(), context.routable())
          .ifPresent(route -> dispatch(pending, route, context.runners(), step));
    }
    gate.advance(context);
  }

  private void advanceHeld(PendingRequest held, RequestContext context) {
    if (!context.step().now().isBefore(held.deadline())) {
      Refusal refusal = gate.refusalAtDeadline(held);
      gate.giveUp(held);
      end(held, new Ending.Refused(refusal), context.step());
      return;
    }
    settle(held, context);
  }

  private void settle(PendingRequest pending, RequestContext context) {
    switch (gate.decide(pending, context, requests::containsKey)) {
      case IntentVerdict.Wait wait -> {}
      case IntentVerdict.Run run -> {
        gate.remove(pending);
        pending.queue();
      }
      case IntentVerdict.Answer answer -> {
        gate.remove(pending);
        RequestId id = pending.request().id();
        context.step().emit(new Effect.AnswerChunk(id, 0, answer.answer()));
        end(pending, new Ending.Completed(answer.status()), context.step());
      }
      case IntentVerdict.Refuse refuse -> {
        gate.giveUp(pending);
        end(pending, new Ending.Refused(refuse.refusal()), context.step());
      }
    }
  }

  private void dispatch(PendingRequest pending, Route route, RunnerTable runners, Step step) {
    attemptSequence++;
    AttemptId attempt =
        AttemptId.of(settings.node() + "." + settings.incarnation() + ".a" + attemptSequence);
    pending.start(attempt, route.runner());
    attempts.put(attempt, pending.request().id());
    runners.addAttempt(route.runner());
    step.emit(
        new Effect.Dispatch(
            attempt, route.runner(), route.replica(), pending.request(), pending.delivered()));
    step.log(
        EventCode.REQUEST_DISPATCHED,
        "request",
        pending.request().id(),
        "attempt",
        attempt,
        "runner",
        route.runner());
  }

  // Accessors

  /** Returns what the callers of this node want, and forgets the counted arrivals. */
  public List<Demand> takeDemand(Instant now) {
    Map<ModelId, Demand> wanted = new TreeMap<>();
    for (PendingRequest pending : requests.values()) {
      if (pending.request().target() instanceof Target.ModelTarget target) {
        Demand one = demandOf(pending, target, now);
        wanted.merge(target.model(), one, Demand::plus);
      }
    }
    arrivals.forEach(
        (model, count) ->
            wanted.computeIfPresent(model, (id, demand) -> demand.withArrivals(count)));
    arrivals.clear();
    return List.copyOf(wanted.values());
  }

  /** Returns whether any request is open. */
  public boolean isEmpty() {
    return requests.isEmpty();
  }

  /** Returns whether nothing is left to be done before the node may stop. */
  public boolean isFinished(boolean logDown) {
    return requests.isEmpty() && (logDown || gate.isRecorded());
  }

  /** Returns the earliest deadline of a waiting request. */
  public Optional<Instant> nextWakeUp() {
    Optional<Instant> deadline =
        requests.values().stream()
            .filter(pending -> pending.phase() != PendingRequest.Phase.DISPATCHED)
            .map(PendingRequest::deadline)
            .min(Comparator.naturalOrder());
    return Deadlines.earliest(deadline, gate.nextWakeUp());
  }

  // Helpers

  private static boolean needsIntent(
      InboundRequest request, KindSpec kind, Configuration configuration) {
    if (kind.repeatable()) {
      return false;
    }
    return !(request.target() instanceof Target.ServiceTarget target
        && configuration.services().get(target.service()).deduplicates());
  }

  private static Optional<Refusal> check(InboundRequest request, Configuration configuration) {
    KindSpec kind = configuration.kinds().get(request.kind());
    if (kind == null) {
      return Optional.of(
          Refusal.notRun(ResultCode.KIND_UNKNOWN, "no kind of request named " + request.kind()));
    }
    if (!kind.repeatable() && request.key().isEmpty()) {
      return Optional.of(
          Refusal.notRun(
              ResultCode.IDEMPOTENCY_KEY_MISSING, "send an Idempotency-Key with " + kind.id()));
    }
    return switch (request.target()) {
      case Target.ModelTarget target -> checkModel(request, target, configuration);
      case Target.ServiceTarget target -> checkService(target, configuration);
    };
  }

  private static Optional<Refusal> checkService(
      Target.ServiceTarget target, Configuration configuration) {
    ServiceSpec service = configuration.services().get(target.service());
    return service != null
        ? Optional.empty()
        : Optional.of(
            Refusal.notRun(ResultCode.SERVICE_UNKNOWN, "no service named " + target.service()));
  }

  private static Optional<Refusal> checkModel(
      InboundRequest request, Target.ModelTarget target, Configuration configuration) {
    ModelSpec model = configuration.models().get(target.model());
    if (model == null || !model.customer().equals(request.customer())) {
      return Optional.of(
          Refusal.notRun(ResultCode.MODEL_UNKNOWN, "no model named " + target.model()));
    }
    return Optional.empty();
  }

  private void refuseLate(PendingRequest pending, Step step) {
    Refusal refusal =
        Refusal.notRun(
            ResultCode.DEADLINE_PASSED,
            "no runner could take the request before its deadline",
            RETRY_AFTER);
    if (pending.onlyOnce()) {
      gate.giveUp(pending);
    }
    end(pending, new Ending.Refused(refusal), step);
  }

  private void end(PendingRequest pending, Ending ending, Step step) {
    requests.remove(pending.request().id());
    if (!pending.callerLeft()) {
      step.emit(new Effect.EndRequest(pending.request().id(), ending));
    }
  }

  private PendingRequest find(AttemptId attempt) {
    RequestId request = attempts.get(attempt);
    return request == null ? null : requests.get(request);
  }

  private static Demand demandOf(PendingRequest pending, Target.ModelTarget target, Instant now) {
    boolean waits = pending.phase() != PendingRequest.Phase.DISPATCHED;
    return new Demand(
        target.model(),
        target.adapter(),
        pending.urgency(),
        waits ? 1 : 0,
        waits ? 0 : 1,
        0,
        Duration.between(now, pending.deadline()));
  }
}
