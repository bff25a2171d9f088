package dev.wisteriarail.core.tenant;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides how a tenant's allowance should be divided among the nodes that its callers use.
 *
 * <p>First, each node gets what lets it admit the largest of its recent requests, those with the
 * highest demand first. A small tenant with callers at many nodes would otherwise be refused
 * everywhere. The rest is divided such that the shares of the nodes, with their floors, are in
 * proportion to their demand. Stateless.
 */
final class ShareTargets {

  /** Halvings that find the common multiple of the demand; more do not change a share. */
  private static final int HALVINGS = 30;

  private ShareTargets() {}

  /**
   * Returns the shares to grant to the nodes.
   *
   * @param floor share that each node has without a grant
   * @param pool share of rate and burst to divide
   * @param loans share of the rate to divide in addition
   * @param perShare cost of the largest request that a share of 1 admits
   */
  static Map<ShareHolder, Target> of(
      List<ShareHolder> holders,
      double floor,
      double pool,
      double loans,
      double perShare,
      Instant now) {
    List<ShareHolder> active = new ArrayList<>();
    double total = 0;
    for (ShareHolder holder : holders) {
      if (holder.isActive(now)) {
        active.add(holder);
        total += holder.weight(now);
      }
    }
    active.sort(Comparator.comparingDouble((ShareHolder each) -> each.demand(now)).reversed());
    Map<ShareHolder, Double> minimums = new HashMap<>();
    Map<ShareHolder, Double> weights = new HashMap<>();
    double left = pool;
    double given = 0;
    for (ShareHolder holder : active) {
      double minimum = Math.max(0, holder.largest() / perShare - floor);
      minimum = minimum <= left ? minimum : 0;
      minimums.put(holder, minimum);
      weights.put(holder, holder.weight(now) / total);
      left -= minimum;
      given += floor + minimum;
    }
    double multiple = multiple(minimums, weights, floor, left + loans, given);
    double fromPool = left + loans > 0 ? left / (left + loans) : 0;
    Map<ShareHolder, Target> targets = new HashMap<>();
    for (ShareHolder holder : active) {
      double raise = raise(multiple * weights.get(holder), floor + minimums.get(holder));
      targets.put(
          holder, new Target(minimums.get(holder) + raise * fromPool, raise * (1 - fromPool)));
    }
    return targets;
  }

  /** Returns the multiple of the weights up to which all shares can be raised. */
  private static double multiple(
      Map<ShareHolder, Double> minimums,
      Map<ShareHolder, Double> weights,
      double floor,
      double left,
      double given) {
    double low = 0;
    double high = left + given;
    for (int i = 0; i < HALVINGS; i++) {
      double middle = (low + high) / 2;
      double added = 0;
      for (Map.Entry<ShareHolder, Double> each : minimums.entrySet()) {
        added += raise(middle * weights.get(each.getKey()), floor + each.getValue());
      }
      if (added > left) {
        high = middle;
      } else {
        low = middle;
      }
    }
    return low;
  }

  private static double raise(double to, double from) {
    return Math.max(0, to - from);
  }

  /**
   * What a node should be granted.
   *
   * @param share share of rate and burst
   * @param lent share of the rate that other nodes lend
   */
  record Target(double share, double lent) {

    static final Target NONE = new Target(0, 0);
  }
}
