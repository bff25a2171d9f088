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
 * Tracks which runners a controller may use: those that have accepted its fencing number in their
 * current incarnation and are not backed off after a refused load.
 *
 * <p>Life cycle: one per node; reset at each claim of the node. Not thread-safe; owned by the
 * node's core.
 */
final class RunnerEligibility {

  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  /**
   * The state of one runner. Mutable.
   *
   * <p>{@code acceptedBy} is the incarnation that has accepted the fencing number, {@code
   * orderedFor} the one to which it was last sent.
   */
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

  /** Makes all runners ineligible; called when a new claim of this node comes into force. */
  void reset() {
    states.clear();
  }

  /** Sends the fencing number to a runner that has not accepted it yet, if a retry is due. */
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

  /** Processes the outcome of an order to raise the fencing number. */
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

  /** Backs off a runner that refused a load; the time doubles with each consecutive refusal. */
  void onLoadRefused(RunnerId runner, Step step) {
    RunnerState state = states.computeIfAbsent(runner, id -> new RunnerState());
    int doublings = Math.min(state.loadRefusals, MAX_BACKOFF_DOUBLINGS);
    Duration wait = timings.orderRetry().multipliedBy(1L << doublings);
    state.loadRefusals++;
    state.backoffUntil = step.now().plus(wait);
    step.log(EventCode.RUNNER_BACKED_OFF, "runner", runner, "until", state.backoffUntil);
  }

  /** Resets the refusal count of a runner; called when a reserved replica is present on it. */
  void onLoadSucceeded(RunnerId runner) {
    RunnerState state = states.get(runner);
    if (state != null) {
      state.loadRefusals = 0;
    }
  }

  // Accessors

  /** Returns whether the runner's current incarnation has accepted the fencing number. */
  boolean hasAcceptedFence(RunnerId runner) {
    RunnerState state = states.get(runner);
    return state != null
        && state.acceptedBy.isPresent()
        && state.acceptedBy.equals(reportTracker.latestIncarnation(runner));
  }

  /** Returns when the runner accepted the fencing number. */
  Instant fenceAcceptedAt(RunnerId runner) {
    RunnerState state = states.get(runner);
    return state == null ? Instant.MIN : state.acceptedAt;
  }

  /** Returns whether new loads may be decided for the runner. */
  boolean isEligible(RunnerId runner, Instant now) {
    return hasAcceptedFence(runner) && !now.isBefore(states.get(runner).backoffUntil);
  }

  /** Returns whether the runner has answered the order to raise the fencing number. */
  boolean hasAnsweredFence(RunnerId runner) {
    RunnerState state = states.get(runner);
    return state != null && state.answered;
  }
}
