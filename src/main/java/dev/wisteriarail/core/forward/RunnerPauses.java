package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.fleet.RunnerRun;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Pauses that runners have asked this node for.
 *
 * <p>A runner that rejects a request may state for how long it accepts none. Requests sent before
 * then are rejected again and take time from those that it serves. A pause applies only to the node
 * that was asked and to the run of the runner that asked; it does not count as a failure.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class RunnerPauses {

  private final Map<RunnerRun, Instant> until = new HashMap<>();

  private RunnerPauses() {}

  /** Creates an empty set of pauses. */
  public static RunnerPauses create() {
    return new RunnerPauses();
  }

  /** Adds a pause that starts now; an earlier pause that ends later stays in effect. */
  public void add(RunnerRun runner, Duration length, Instant now) {
    until.merge(runner, now.plus(length), (a, b) -> a.isAfter(b) ? a : b);
  }

  /** Removes pauses that have ended. */
  public void advance(Instant now) {
    until.values().removeIf(end -> !now.isBefore(end));
  }

  /** Returns how long nothing may be sent to a runner; zero if it accepts requests now. */
  public Duration remaining(RunnerRun runner, Instant now) {
    Instant end = until.getOrDefault(runner, now);
    return end.isAfter(now) ? Duration.between(now, end) : Duration.ZERO;
  }
}
