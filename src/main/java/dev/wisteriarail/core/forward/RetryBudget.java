package dev.wisteriarail.core.forward;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This node's share of the retries that all nodes together may send to a service.
 *
 * <p>When the runners of a service fail, every node would send its requests a second time, and the
 * retries would keep the service down. In any window the fleet may send a fixed number of retries
 * plus a fraction of its requests; each node stays within its share without asking the others.
 *
 * <p>Not thread-safe.
 */
public final class RetryBudget {

  /**
   * Fraction of its allowance that a node uses, so that nodes with uneven load stay below the
   * total.
   */
  private static final double SAFETY_FACTOR = 0.6;

  private RetryLimits limits;
  private final Deque<Instant> requests = new ArrayDeque<>();
  private final Deque<Instant> retries = new ArrayDeque<>();

  private RetryBudget(RetryLimits limits) {
    this.limits = limits;
  }

  /** Creates an unused budget. */
  public static RetryBudget create(RetryLimits limits) {
    return new RetryBudget(limits);
  }

  /** Changes the limits; retries that were sent still count. */
  public void setLimits(RetryLimits newLimits) {
    limits = newLimits;
  }

  /** Counts a request. */
  public void countRequest(Instant now) {
    requests.addLast(now);
    trim(now);
  }

  /**
   * Takes a retry from the budget.
   *
   * @param nodes number of nodes that share the budget
   * @return whether the retry may be sent
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
