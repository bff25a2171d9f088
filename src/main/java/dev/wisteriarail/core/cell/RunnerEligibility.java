package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.CellTimings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Which runners a controller may use: those that have taken its fencing number in their present
 * incarnation, and have not just refused a load.
 *
 * <p>Life cycle: one per node; reset at each claim. Not thread-safe; owned by the node's core.
 */
final class RunnerEligibility {

  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  /** One runner's gate. Mutable. */
  private static final class RunnerState {
    private Optional<Incarnation> acceptedBy = Optional.empty();
    private Instant acceptedAt = Instant.MIN;
    private Optional<Incarnation> orderedFor = Optional.empty();
    private Instant nextOrderAt = Instant.MIN;
    private boolean answered;
    private int loadRefusals;
    private Instant backoffUntil = Instant.MIN;
  }

  private final CellTimings timings;
  private final ReportTracker reportTracker;
  private final Map<RunnerId, RunnerState> states = new TreeMap<>();

  private RunnerEligibility(CellTimings timings, ReportTracker reportTracker) {
    this.timings = timings;
    this.reportTracker = reportTracker;
  }

  static RunnerEligibility create(CellTimings timings, ReportTracker reportTracker) {
    return new RunnerEligibility(timings, reportTracker);
  }

  // Updates

  /** Shuts all gates: a new claim holds. */
  void reset() {
    states.clear();
  }

  /** Sends the fencing number to a runner that has not taken it yet. */
  void raiseFence(RunnerId runner, OrderTracker orderTracker, FencingNumber fence, Step step) {
    RunnerState state = states.computeIfAbsent(runner, id -> new RunnerState());
    Optional<Incarnation> current = reportTracker.latestIncarnation(runner);
    if (hasAcceptedFence(runner) || current.isEmpty() || step.now().isBefore(state.nextOrderAt)) {
      return;
    }
    state.orderedFor = current;
    state.nextOrderAt = step.now().plus(timings.orderRetry());
    orderTracker.send(runner, Optional.empty(), new EngineOrder.RaiseFence(), fence, step);
  }

  /** Takes the answer to the order that raised the fencing number. */
  void acceptFenceOutcome(RunnerId runner, OrderOutcome outcome, Step step) {
    RunnerState state = states.get(runner);
    if (state == null) {
      return;
    }
    state.answered = true;
    if (outcome instanceof OrderOutcome.Done) {
      state.acceptedBy = state.orderedFor;
      state.acceptedAt = step.now();
      step.log(EventCode.FENCE_RAISED, "runner", runner);
    }
  }

  /** Notes that a runner refused a load: it gets none for a time that doubles. */
  void onLoadRefused(RunnerId runner, Step step) {
    RunnerState state = states.computeIfAbsent(runner, id -> new RunnerState());
    int doublings = Math.min(state.loadRefusals, MAX_BACKOFF_DOUBLINGS);
    Duration wait = timings.orderRetry().multipliedBy(1L << doublings);
    state.loadRefusals++;
    state.backoffUntil = step.now().plus(wait);
    step.log(EventCode.RUNNER_BACKED_OFF, "runner", runner, "until", state.backoffUntil);
  }

  /** Notes that a load was carried out. */
  void onLoadSucceeded(RunnerId runner) {
    RunnerState state = states.get(runner);
    if (state != null) {
      state.loadRefusals = 0;
    }
  }

  // Accessors

  /** Returns whether the runner's present incarnation has taken the fencing number. */
  boolean hasAcceptedFence(RunnerId runner) {
    RunnerState state = states.get(runner);
    return state != null
        && state.acceptedBy.isPresent()
        && state.acceptedBy.equals(reportTracker.latestIncarnation(runner));
  }

  /** Returns when the runner took the fencing number. */
  Instant fenceAcceptedAt(RunnerId runner) {
    RunnerState state = states.get(runner);
    return state == null ? Instant.MIN : state.acceptedAt;
  }

  /** Returns whether new loads may go to the runner. */
  boolean isEligible(RunnerId runner, Instant now) {
    return hasAcceptedFence(runner) && !now.isBefore(states.get(runner).backoffUntil);
  }

  /** Returns whether the runner has answered the order to raise the fencing number. */
  boolean hasAnsweredFence(RunnerId runner) {
    RunnerState state = states.get(runner);
    return state != null && state.answered;
  }
}
