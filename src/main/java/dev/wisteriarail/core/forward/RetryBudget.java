package dev.wisteriarail.core.forward;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This node's part of the repeats that all nodes together may send to a service.
 *
 * <p>The load that it answers: runners of a service fail, every node sends its requests a second
 * time, and the repeats keep the service down. In any window the fleet may send a fixed number of
 * repeats and a share of its requests; a node keeps to its part without asking the others.
 *
 * <p>Not thread-safe.
 */
public final class RetryBudget {

  /** Part of its allowance that a node uses, so that uneven nodes stay below the sum. */
  private static final double SAFETY_FACTOR = 0.6;

  private RetryLimits limits;
  private final Deque<Instant> requests = new ArrayDeque<>();
  private final Deque<Instant> retries = new ArrayDeque<>();

  private RetryBudget(RetryLimits limits) {
    this.limits = limits;
  }

  /** Returns an unspent budget. */
  public static RetryBudget create(RetryLimits limits) {
    return new RetryBudget(limits);
  }

  /** Changes the limits; what was spent stays spent. */
  public void setLimits(RetryLimits newLimits) {
    limits = newLimits;
  }

  /** Counts a request. */
  public void countRequest(Instant now) {
    requests.addLast(now);
    trim(now);
  }

  /**
   * Takes a repeat from the budget.
   *
   * @param nodes nodes that share it
   * @return whether the repeat may be sent
   */
  public boolean tryAcquire(int nodes, Instant now) {
    trim(now);
    double allowance =
        SAFETY_FACTOR * (limits.ratio() * requests.size() + limits.slack() / Math.max(1, nodes));
    if (retries.size() + 1 > allowance) {
      return false;
    }
    retries.addLast(now);
    return true;
  }

  private void trim(Instant now) {
    Instant oldest = now.minus(limits.window());
    while (!requests.isEmpty() && requests.peekFirst().isBefore(oldest)) {
      requests.removeFirst();
    }
    while (!retries.isEmpty() && retries.peekFirst().isBefore(oldest)) {
      retries.removeFirst();
    }
  }
}
