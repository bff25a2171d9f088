package dev.wisteriarail.core.tenant;

import java.time.Duration;

/**
 * What the platform tolerates beyond a tenant's allowance in every window, over all nodes together:
 * {@code (rate x window + burst) x overage + slack}.
 *
 * @param window length of the window
 * @param overage tolerated excess as a share of the allowance
 * @param slack tolerated excess in tokens
 */
public record AllowanceLimits(Duration window, double overage, double slack) {

  /**
   * Used where the settings specify none. Nothing is tolerated, since the template leaves out
   * values of 0.
   */
  public static final AllowanceLimits DEFAULT = new AllowanceLimits(Duration.ofSeconds(8), 0, 0);

  /**
   * Part of the tolerated excess that buckets may go into debt. The rest covers restarted nodes,
   * which forget what they have used, and debts that stay behind when a share moves to another
   * node.
   */
  private static final double DEBT_PART = 0.75;

  /**
   * Part of the rate at which buckets refill. What the rest adds up to in a window is debt that
   * buckets may have from the start: at a node with a few requests per second it matters more how
   * many of them may come at once than how fast the bucket refills. Usual demand is 0.55 of the
   * rate. At this demand, evenly at 21 of 66 nodes, 61 of 14,384 requests were refused with 0.9 and
   * 11 with 0.8.
   */
  private static final double RATE_PART = 0.8;

  /**
   * Returns how far the buckets of all nodes together may go into debt. The slack is in tokens and
   * therefore does not apply to allowances that count requests.
   */
  double debt(Allowance allowance) {
    double rateInWindow = allowance.ratePerSecond() * window.toMillis() / 1_000;
    double excess =
        (rateInWindow + allowance.burst()) * overage
            + (allowance.unit() == Allowance.Unit.TOKENS ? slack : 0);
    return DEBT_PART * excess + (1 - RATE_PART) * rateInWindow;
  }

  /** Returns the rate at which the buckets of all nodes together refill. */
  double refillPerSecond(Allowance allowance) {
    return RATE_PART * allowance.ratePerSecond();
  }

  /** Returns the largest cost of a request that a node with a share can admit. */
  double largestCost(Allowance allowance, double share) {
    return share * (allowance.burst() + debt(allowance));
  }
}
