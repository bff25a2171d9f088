package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.fleet.RunnerRun;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Runners that asked this node to send them nothing for a while.
 *
 * <p>The load that it answers: a runner turns requests away and says for how long. What is sent to
 * it before then is turned away again and takes its time from the requests that it serves. A pause
 * binds only the node that was told, and only towards the run of the runner that told it; it is no
 * failure of the runner.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class RunnerPauses {

  private final Map<RunnerRun, Instant> until = new HashMap<>();

  private RunnerPauses() {}

  /** Returns pauses of no runner. */
  public static RunnerPauses create() {
    return new RunnerPauses();
  }

  /** Notes a pause that begins now; an earlier one that lasts longer stays. */
  public void add(RunnerRun runner, Duration length, Instant now) {
    until.merge(runner, now.plus(length), (a, b) -> a.isAfter(b) ? a : b);
  }

  /** Forgets pauses that are over. */
  public void advance(Instant now) {
    until.values().removeIf(end -> !now.isBefore(end));
  }

  /** Returns how long nothing may be sent to a runner; zero if it may be sent to now. */
  public Duration remaining(RunnerRun runner, Instant now) {
    Instant end = until.getOrDefault(runner, now);
    return end.isAfter(now) ? Duration.between(now, end) : Duration.ZERO;
  }
}
