package dev.wisteriarail.core.request;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.routing.Route;
import dev.wisteriarail.core.routing.RunnerTable;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The attempts that are running on backend servers, with their number per customer and target.
 * Events of an attempt that is not contained here are late and are dropped.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the request table.
 */
final class RunningAttempts {

  private final NodeSettings settings;
  private final Map<AttemptId, PendingRequest> running = new HashMap<>();
  private final Map<CustomerId, Integer> byCustomer = new TreeMap<>();
  private final Map<TargetKey, Integer> byTarget = new TreeMap<>();
  private long sequence;

  private RunningAttempts(NodeSettings settings) {
    this.settings = settings;
  }

  /** Returns an instance without attempts. */
  static RunningAttempts create(NodeSettings settings) {
    return new RunningAttempts(settings);
  }

  /** Starts an attempt of a request on the runner of a route. */
  void start(PendingRequest pending, Route route, RunnerTable runners, Step step) {
    sequence++;
    AttemptId attempt =
        AttemptId.of(settings.node() + "." + settings.incarnation() + ".a" + sequence);
    CustomerId customer = pending.request().customer();
    pending.start(attempt, route, step.now());
    running.put(attempt, pending);
    byCustomer.merge(customer, 1, Integer::sum);
    byTarget.merge(pending.target(), 1, Integer::sum);
    runners.addAttempt(route.runner(), customer);
    if (route.replica().isPresent()) {
      runners.recordPrompt(route.runner(), pending.request());
    }
    step.emit(
        new Effect.Dispatch(
            attempt,
            route.runner(),
            route.replica(),
            pending.request(),
            pending.deliveredChunks()));
    step.log(
        EventCode.REQUEST_DISPATCHED,
        "request",
        pending.request().id(),
        "attempt",
        attempt,
        "runner",
        route.runner());
  }

  /** Removes an attempt and returns its request; empty if the attempt is not running. */
  Optional<PendingRequest> finish(AttemptId attempt, RunnerTable runners) {
    PendingRequest pending = running.remove(attempt);
    if (pending == null) {
      return Optional.empty();
    }
    CustomerId customer = pending.request().customer();
    byCustomer.merge(customer, -1, Integer::sum);
    byTarget.merge(pending.target(), -1, Integer::sum);
    runners.removeAttempt(pending.runner().orElseThrow(), customer);
    return Optional.of(pending);
  }

  /** Cancels the attempt of a request and frees its slot. */
  void cancel(PendingRequest pending, RunnerTable runners, Step step) {
    AttemptId attempt = pending.attempt().orElseThrow();
    if (finish(attempt, runners).isPresent()) {
      step.emit(new Effect.CancelAttempt(attempt, pending.runner().orElseThrow()));
    }
  }

  // Accessors

  /** Returns the request of a running attempt. */
  Optional<PendingRequest> find(AttemptId attempt) {
    return Optional.ofNullable(running.get(attempt));
  }

  /** Returns the number of running attempts of a customer. */
  int inFlight(CustomerId customer) {
    return byCustomer.getOrDefault(customer, 0);
  }

  /** Returns the number of running attempts for a target. */
  int inFlight(TargetKey target) {
    return byTarget.getOrDefault(target, 0);
  }

  /** Returns the number of running attempts by target. */
  Map<TargetKey, Integer> inFlightByTarget() {
    return byTarget;
  }
}
