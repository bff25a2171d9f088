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
final class RunnerGates {

  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  /** One runner's gate. Mutable. */
  private static final class Gate {
    private Optional<Incarnation> raised = Optional.empty();
    private Instant raisedAt = Instant.MIN;
    private Optional<Incarnation> raising = Optional.empty();
    private Instant nextTry = Instant.MIN;
    private boolean tried;
    private int refusals;
    private Instant closedUntil = Instant.MIN;
  }

  private final CellTimings bounds;
  private final Sightings sightings;
  private final Map<RunnerId, Gate> gates = new TreeMap<>();

  private RunnerGates(CellTimings bounds, Sightings sightings) {
    this.bounds = bounds;
    this.sightings = sightings;
  }

  static RunnerGates create(CellTimings bounds, Sightings sightings) {
    return new RunnerGates(bounds, sightings);
  }

  // Updates

  /** Shuts all gates: a new claim holds. */
  void reset() {
    gates.clear();
  }

  /** Sends the fencing number to a runner that has not taken it yet. */
  void raise(RunnerId runner, OrderBook orders, FencingNumber fence, Step step) {
    Gate gate = gates.computeIfAbsent(runner, id -> new Gate());
    Optional<Incarnation> present = sightings.incarnation(runner);
    if (isRaised(runner) || present.isEmpty() || step.now().isBefore(gate.nextTry)) {
      return;
    }
    gate.raising = present;
    gate.nextTry = step.now().plus(bounds.orderRetry());
    orders.send(runner, Optional.empty(), new EngineOrder.RaiseFence(), fence, step);
  }

  /** Takes the answer to the order that raised the fencing number. */
  void acceptRaised(RunnerId runner, OrderOutcome outcome, Step step) {
    Gate gate = gates.get(runner);
    if (gate == null) {
      return;
    }
    gate.tried = true;
    if (outcome instanceof OrderOutcome.Done) {
      gate.raised = gate.raising;
      gate.raisedAt = step.now();
      step.log(EventCode.FENCE_RAISED, "runner", runner);
    }
  }

  /** Notes that a runner refused a load: it gets none for a time that doubles. */
  void acceptRefusal(RunnerId runner, Step step) {
    Gate gate = gates.computeIfAbsent(runner, id -> new Gate());
    int doublings = Math.min(gate.refusals, MAX_BACKOFF_DOUBLINGS);
    Duration wait = bounds.orderRetry().multipliedBy(1L << doublings);
    gate.refusals++;
    gate.closedUntil = step.now().plus(wait);
    step.log(EventCode.RUNNER_BACKED_OFF, "runner", runner, "until", gate.closedUntil);
  }

  /** Notes that a load was carried out. */
  void acceptSuccess(RunnerId runner) {
    Gate gate = gates.get(runner);
    if (gate != null) {
      gate.refusals = 0;
    }
  }

  // Accessors

  /** Returns whether the runner's present incarnation has taken the fencing number. */
  boolean isRaised(RunnerId runner) {
    Gate gate = gates.get(runner);
    return gate != null
        && gate.raised.isPresent()
        && gate.raised.equals(sightings.incarnation(runner));
  }

  /** Returns when the runner took the fencing number. */
  Instant raisedAt(RunnerId runner) {
    Gate gate = gates.get(runner);
    return gate == null ? Instant.MIN : gate.raisedAt;
  }

  /** Returns whether new loads may go to the runner. */
  boolean isOpen(RunnerId runner, Instant now) {
    return isRaised(runner) && !now.isBefore(gates.get(runner).closedUntil);
  }

  /** Returns whether the runner has answered the order to raise the fencing number. */
  boolean wasTried(RunnerId runner) {
    Gate gate = gates.get(runner);
    return gate != null && gate.tried;
  }
}
