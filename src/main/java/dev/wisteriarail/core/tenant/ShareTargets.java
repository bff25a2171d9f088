package dev.wisteriarail.core.tenant;

import java.time.Instant;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides how a tenant's allowance should be divided among the nodes that its callers use.
 *
 * <p>Of the burst, each node first gets what lets it admit the largest of its recent requests,
 * those with the highest demand first. A small tenant with callers at many nodes would otherwise be
 * refused everywhere. The rest, and the rate, are divided such that the shares of the nodes, with
 * their floors, are in proportion to their weights. Stateless.
 */
final class ShareTargets {

  /** Halvings that find the common multiple of the weights; more do not change a share. */
  private static final int HALVINGS = 30;

  private ShareTargets() {}

  /**
   * Returns the shares to grant to the nodes.
   *
   * @param floor share that each node has without a grant
   * @param ratePool share of the rate to divide
   * @param burstPool share of the burst to divide
   * @param perShare cost of the largest request that a share of 1 admits
   */
  static Map<ShareHolder, Target> of(
      List<ShareHolder> holders,
      double floor,
      double ratePool,
      double burstPool,
      double perShare,
      Instant now) {
    List<ShareHolder> active =
        holders.stream()
            .filter(holder -> holder.isActive(now))
            .sorted(Comparator.comparingDouble((ShareHolder each) -> each.demand(now)).reversed())
            .toList();
    double[] rates = new double[active.size()];
    double[] bursts = new double[active.size()];
    double left = burstPool;
    for (int i = 0; i < bursts.length; i++) {
      double minimum = Math.max(0, active.get(i).largest() / perShare - floor);
      bursts[i] = minimum <= left ? minimum : 0;
      left -= bursts[i];
    }
    fill(bursts, active.stream().mapToDouble(each -> each.burstWeight(now)).toArray(), floor, left);
    fill(
        rates,
        active.stream().mapToDouble(each -> each.rateWeight(now)).toArray(),
        floor,
        ratePool);
    Map<ShareHolder, Target> targets = new HashMap<>();
    for (int i = 0; i < rates.length; i++) {
      targets.put(active.get(i), new Target(rates[i], bursts[i]));
    }
    return targets;
  }

  /** Raises the shares to a common multiple of the weights such that they use up what is left. */
  private static void fill(double[] shares, double[] weights, double floor, double left) {
    double total = Arrays.stream(weights).sum();
    if (total <= 0 || left <= 0) {
      return;
    }
    double low = 0;
    double high = (left + Arrays.stream(shares).sum() + floor * shares.length) / total;
    for (int i = 0; i < HALVINGS; i++) {
      double middle = (low + high) / 2;
      double added = 0;
      for (int j = 0; j < shares.length; j++) {
        added += Math.max(0, middle * weights[j] - floor - shares[j]);
      }
      if (added > left) {
        high = middle;
      } else {
        low = middle;
      }
    }
    for (int j = 0; j < shares.length; j++) {
      shares[j] += Math.max(0, low * weights[j] - floor - shares[j]);
    }
  }

  /**
   * What a node should be granted.
   *
   * @param rate share of the rate
   * @param burst share of the burst
   */
  record Target(double rate, double burst) {

    static final Target NONE = new Target(0, 0);
  }
}
