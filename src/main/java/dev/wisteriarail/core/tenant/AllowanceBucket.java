package dev.wisteriarail.core.tenant;

import java.time.Duration;
import java.time.Instant;

/**
 * Token bucket of one tenant on one node. The rate is scaled by the node's share of the rate,
 * capacity and limit on the debt by its share of the burst.
 *
 * <p>A larger share raises the capacity but not the level, as the level that another node lost with
 * that share may already have been used there. A bucket that goes on in place of one of unknown
 * level begins in debt; what may be too much of that debt is withheld until one window has passed.
 *
 * <p>Not thread-safe.
 */
final class AllowanceBucket {

  /** Level of a new bucket as a part of its capacity: a restarted node may have used the rest. */
  private static final double INITIAL_LEVEL = 0.5;

  private final AllowanceLimits limits;
  private Allowance allowance;
  private double rateShare;
  private double burstShare;
  private double level;
  private double withheld;
  private Instant withheldUntil = Instant.MIN;
  private Instant refilledAt;

  private AllowanceBucket(AllowanceLimits limits, Allowance allowance, double share, Instant now) {
    this.limits = limits;
    this.allowance = allowance;
    rateShare = share;
    burstShare = share;
    level = INITIAL_LEVEL * capacity();
    refilledAt = now;
  }

  static AllowanceBucket create(
      AllowanceLimits limits, Allowance allowance, double share, Instant now) {
    return new AllowanceBucket(limits, allowance, share, now);
  }

  /** Adds what has accrued; never more than the capacity, however long ago the last call was. */
  void refill(Instant now) {
    if (now.isAfter(refilledAt)) {
      double seconds = Duration.between(refilledAt, now).toNanos() / 1e9;
      level = Math.min(capacity(), level + seconds * rate());
      refilledAt = now;
      withheld = Math.min(withheld, capacity() - level);
      if (!now.isBefore(withheldUntil)) {
        level += withheld;
        withheld = 0;
      }
    }
  }

  /** Changes the shares from now on. The level is clipped at once. */
  void setShares(double newRateShare, double newBurstShare) {
    rateShare = newRateShare;
    burstShare = newBurstShare;
    level = Math.min(level, capacity());
  }

  /** Lowers the level to what another bucket held, as this one goes on in its place. */
  void lower(double deficit) {
    level = Math.min(level, capacity() - deficit);
  }

  /**
   * Lowers the level to the largest debt, as it is unknown what another bucket gave in whose place
   * this one goes on. After one window, which then holds nothing of that, the bucket regains what
   * it would have had without.
   *
   * @param promised time for which the other bucket may have given what it did not hold yet
   */
  void exhaust(Duration promised, Instant now) {
    withheld = capacity() + debtLimit();
    level = -debtLimit() - rate() * promised.toMillis() / 1_000;
    withheldUntil = now.plus(limits.window());
  }

  /** Changes the allowance from now on. An increase of the capacity is usable at once. */
  void setAllowance(Allowance newAllowance) {
    double before = capacity();
    allowance = newAllowance;
    level = Math.min(level + Math.max(0, capacity() - before), capacity());
  }

  /** Takes the cost if the debt stays within the limit. */
  boolean tryTake(double cost) {
    if (level - cost < -debtLimit()) {
      return false;
    }
    take(cost);
    return true;
  }

  /** Takes a cost that is used only when the bucket holds it, {@link #secondsUntil} from now. */
  void take(double cost) {
    level -= cost;
  }

  /** Returns the cost of a request that did not run. */
  void giveBack(double cost) {
    level = Math.min(capacity(), level + cost);
  }

  /** Returns the seconds until a cost can be taken at the present share; infinite if never. */
  double secondsUntil(double cost) {
    double missing = cost - debtLimit() - level;
    if (missing <= 0) {
      return 0;
    }
    boolean never = cost > capacity() + debtLimit() || rate() <= 0;
    return never ? Double.POSITIVE_INFINITY : missing / rate();
  }

  private double capacity() {
    return burstShare * allowance.burst();
  }

  double rate() {
    return rateShare * allowance.ratePerSecond();
  }

  private double debtLimit() {
    return burstShare * limits.debt(allowance);
  }

  /** Returns what the bucket lacks to be full. */
  double deficit() {
    return capacity() - level;
  }

  double level() {
    return level;
  }

  Instant refilledAt() {
    return refilledAt;
  }

  double rateShare() {
    return rateShare;
  }

  double burstShare() {
    return burstShare;
  }
}
