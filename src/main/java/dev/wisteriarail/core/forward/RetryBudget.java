package dev.wisteriarail.core.forward;

import java.time.Duration;
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
  private static final double CAUTION = 0.6;

  private Duration window;
  private double ratio;
  private double slack;
  private final Deque<Instant> requests = new ArrayDeque<>();
  private final Deque<Instant> repeats = new ArrayDeque<>();

  private RetryBudget(Duration window, double ratio, double slack) {
    this.window = window;
    this.ratio = ratio;
    this.slack = slack;
  }

  /**
   * Returns an unspent budget.
   *
   * @param window length of the sliding window
   * @param ratio repeats allowed for each request in the window
   * @param slack repeats of the whole fleet that are allowed besides
   */
  public static RetryBudget create(Duration window, double ratio, double slack) {
    return new RetryBudget(window, ratio, slack);
  }

  /** Changes the limits; what was spent stays spent. */
  public void setLimits(Duration newWindow, double newRatio, double newSlack) {
    window = newWindow;
    ratio = newRatio;
    slack = newSlack;
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
  public boolean takeRepeat(int nodes, Instant now) {
    trim(now);
    double allowance = CAUTION * (ratio * requests.size() + slack / Math.max(1, nodes));
    if (repeats.size() + 1 > allowance) {
      return false;
    }
    repeats.addLast(now);
    return true;
  }

  private void trim(Instant now) {
    Instant oldest = now.minus(window);
    while (!requests.isEmpty() && requests.peekFirst().isBefore(oldest)) {
      requests.removeFirst();
    }
    while (!repeats.isEmpty() && repeats.peekFirst().isBefore(oldest)) {
      repeats.removeFirst();
    }
  }
}
