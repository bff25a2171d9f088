package dev.wisteriarail.core.request;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.peer.Demand;
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
import java.util.function.Predicate;

/**
 * The requests of a node's callers, from arrival to their one ending.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class RequestTable {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final NodeSettings settings;
  private final Router router;
  private final Map<RequestId, PendingRequest> requests = new LinkedHashMap<>();
  private final Map<AttemptId, RequestId> attempts = new HashMap<>();
  private final Map<ModelId, Integer> arrivals = new TreeMap<>();
  private long attemptSequence;

  private RequestTable(NodeSettings settings, Router router) {
    this.settings = settings;
    this.router = router;
  }

  /** Returns the table of a node without requests. */
  public static RequestTable create(NodeSettings settings, Router router) {
    return new RequestTable(settings, router);
  }

  // Updates

  /** Takes a new request: queues it or refuses it. */
  public void accept(InboundRequest request, Configuration configuration, Step step) {
    Optional<Refusal> refusal = check(request, configuration);
    if (refusal.isPresent()) {
      step.emit(new Effect.EndRequest(request.id(), new Ending.Refused(refusal.get())));
      return;
    }
    KindSpec kind = configuration.kinds().get(request.kind());
    Duration limit = request.deadline().orElse(kind.deadline());
    requests.put(
        request.id(),
        new PendingRequest(
            request, request.urgency().orElse(kind.urgency()), step.now().plus(limit)));
    if (request.target() instanceof Target.ModelTarget target) {
      arrivals.merge(target.model(), 1, Integer::sum);
    }
  }

  /** Passes a piece of an answer on. A piece of a superseded attempt is dropped. */
  public void acceptProgress(Event.AttemptProgressed progress, Step step) {
    PendingRequest pending = find(progress.attempt());
    if (pending == null || progress.position() != pending.delivered()) {
      return;
    }
    pending.countPiece();
    step.emit(new Effect.AnswerChunk(pending.request().id(), progress.position(), progress.text()));
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
      case AttemptOutcome.Completed completed ->
          end(pending, new Ending.Completed(completed.status()), step);
      case AttemptOutcome.Rejected rejected -> pending.requeue();
      case AttemptOutcome.NotHandedOver notHandedOver -> pending.requeue();
      case AttemptOutcome.Broken broken ->
          end(
              pending,
              new Ending.Refused(
                  Refusal.outcomeUnknown(ResultCode.ANSWER_INCOMPLETE, broken.reason())),
              step);
    }
  }

  /** Drops a request whose caller has left. */
  public void acceptCallerLeft(RequestId request, RunnerTable runners, Step step) {
    PendingRequest pending = requests.remove(request);
    if (pending == null || pending.attempt().isEmpty()) {
      return;
    }
    RunnerId runner = pending.runner().orElseThrow();
    attempts.remove(pending.attempt().get());
    runners.removeAttempt(runner);
    step.emit(new Effect.CancelAttempt(pending.attempt().get(), runner));
    step.log(EventCode.CALLER_LEFT, "request", request);
  }

  /** Dispatches what can run and refuses what is past its deadline. */
  public void advance(
      Step step, Configuration configuration, RunnerTable runners, Predicate<ReplicaId> routable) {
    List<PendingRequest> waiting =
        requests.values().stream()
            .filter(PendingRequest::isWaiting)
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
          .choose(pending.request(), configuration, runners, routable)
          .ifPresent(route -> dispatch(pending, route, runners, step));
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

  /** Returns the earliest deadline of a waiting request. */
  public Optional<Instant> nextWakeUp() {
    return requests.values().stream()
        .filter(PendingRequest::isWaiting)
        .map(PendingRequest::deadline)
        .min(Comparator.naturalOrder());
  }

  // Helpers

  private static Optional<Refusal> check(InboundRequest request, Configuration configuration) {
    KindSpec kind = configuration.kinds().get(request.kind());
    if (kind == null) {
      return Optional.of(
          Refusal.notRun(ResultCode.KIND_UNKNOWN, "no kind of request named " + request.kind()));
    }
    if (!kind.repeatable()) {
      return Optional.of(
          Refusal.notRun(ResultCode.LOG_UNAVAILABLE, "non-repeatable requests are not served yet"));
    }
    return switch (request.target()) {
      case Target.ModelTarget target -> checkModel(request, target, configuration);
      case Target.ServiceTarget target ->
          configuration.services().containsKey(target.service())
              ? Optional.empty()
              : Optional.of(
                  Refusal.notRun(
                      ResultCode.SERVICE_UNKNOWN, "no service named " + target.service()));
    };
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
    end(pending, new Ending.Refused(refusal), step);
  }

  private void end(PendingRequest pending, Ending ending, Step step) {
    requests.remove(pending.request().id());
    step.emit(new Effect.EndRequest(pending.request().id(), ending));
  }

  private PendingRequest find(AttemptId attempt) {
    RequestId request = attempts.get(attempt);
    return request == null ? null : requests.get(request);
  }

  private static Demand demandOf(PendingRequest pending, Target.ModelTarget target, Instant now) {
    return new Demand(
        target.model(),
        target.adapter(),
        pending.urgency(),
        pending.isWaiting() ? 1 : 0,
        pending.isWaiting() ? 0 : 1,
        0,
        Duration.between(now, pending.deadline()));
  }
}
