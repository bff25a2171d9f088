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
   * Returns how far the buckets of all nodes together may go into debt. The slack is in tokens and
   * therefore does not apply to allowances that count requests.
   */
  double debt(Allowance allowance) {
    double rateInWindow = allowance.ratePerSecond() * window.toMillis() / 1_000;
    double excess =
        (rateInWindow + allowance.burst()) * overage
            + (allowance.unit() == Allowance.Unit.TOKENS ? slack : 0);
    return DEBT_PART * excess;
  }

  /** Returns the largest cost of a request that a node with a share can admit. */
  double largestCost(Allowance allowance, double share) {
    return share * (allowance.burst() + debt(allowance));
  }
}
