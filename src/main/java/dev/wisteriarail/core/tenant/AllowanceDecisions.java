package dev.wisteriarail.core.tenant;

import dev.wisteriarail.core.Durations;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decisions on requests that the share of the node at which they arrive does not hold, by the node
 * that owns their tenant.
 *
 * <p>The shares of a small tenant whose callers use many nodes are smaller than a request. One
 * bucket for all of them admits what the tenant is owed, wherever its requests arrive.
 *
 * <p>Requests are served in the order in which they are asked for: one that the bucket does not
 * hold yet is granted from the time at which it will, if the request may wait so long. A large
 * request would otherwise never find enough in a bucket that small ones keep nearly empty.
 *
 * <p>Life cycle: one per node process. Not thread-safe.
 */
public final class AllowanceDecisions {

  /**
   * Longest time for which a granted request has to wait. All requests of a tenant that is above
   * its limit wait for as long, and no more of them are served than without.
   */
  public static final Duration MAX_DELAY = Duration.ofMillis(500);

  /** Time for which answers are kept; nodes ask again for a shorter time. */
  private static final Duration ANSWER_RETENTION = Duration.ofSeconds(4);

  private final TenantAllowances allowances;
  private final Map<String, Account> accounts = new TreeMap<>();
  private final Map<String, Answer> answers = new LinkedHashMap<>();

  private AllowanceDecisions(TenantAllowances allowances) {
    this.allowances = allowances;
  }

  /** Creates the decisions of a node with its shares. */
  public static AllowanceDecisions create(TenantAllowances allowances) {
    return new AllowanceDecisions(allowances);
  }

  /**
   * Takes the cost of a request if this node owns the tenant and holds the cost soon enough. A
   * question that is repeated gets the same decision.
   *
   * @param question identifies the request among those of all nodes
   * @param patience time for which the request may wait
   */
  public Decision take(
      String question, String tenant, double cost, Duration patience, Instant now) {
    dropOldAnswers(now);
    Answer known = answers.get(question);
    if (known != null) {
      return known.remaining(now);
    }
    Optional<TenantAllowances.Owned> owned = allowances.owned(tenant, now);
    if (owned.isEmpty()) {
      return Decision.UNDECIDED;
    }
    Account account = accounts.computeIfAbsent(tenant, name -> new Account());
    Decision decision = account.decide(owned.get(), cost, patience, now);
    answers.put(question, new Answer(decision, now));
    return decision;
  }

  /** The answers are in the order of their times. */
  private void dropOldAnswers(Instant now) {
    Iterator<Answer> oldest = answers.values().iterator();
    while (oldest.hasNext() && now.isAfter(oldest.next().at().plus(ANSWER_RETENTION))) {
      oldest.remove();
    }
  }

  /** Returns the cost of a request that ended without having run. */
  public void giveBack(String tenant, double cost, Instant now) {
    allowances.owned(tenant, now).ifPresent(owned -> owned.bucket().giveBack(cost));
  }

  /** Returns what was decided since the last call for tenants with requests. */
  public List<OwnerUse> takeUses(Instant now) {
    List<OwnerUse> uses = new ArrayList<>();
    accounts.forEach(
        (tenant, account) -> {
          if (account.granted + account.refused > 0) {
            double level =
                allowances.owned(tenant, now).map(owned -> owned.bucket().level()).orElse(0.0);
            uses.add(
                new OwnerUse(
                    tenant, account.granted, account.refused, account.longestDelay, level));
          }
        });
    accounts.values().forEach(Account::resetCounts);
    return uses;
  }

  /**
   * Whether a request may be served.
   *
   * @param granted whether its cost was taken
   * @param delay time from which the request may be served if it was granted, or until the bucket
   *     holds its cost; 0 for a request that was not granted if this is unknown
   */
  public record Decision(boolean granted, Duration delay) {

    /** The decision of a node that does not own the tenant. */
    public static final Decision UNDECIDED = new Decision(false, Duration.ZERO);

    /** Returns whether the owner granted or refused the request. */
    public boolean isDecided() {
      return granted || delay.isPositive();
    }
  }

  private record Answer(Decision decision, Instant at) {

    /** Returns the decision with what is left of the delay. */
    Decision remaining(Instant now) {
      Duration left = decision.delay().minus(Duration.between(at, now));
      if (decision.granted()) {
        return new Decision(true, left.isPositive() ? left : Duration.ZERO);
      }
      return decision;
    }
  }

  /** What was decided for one tenant, and when those that were refused return. */
  private static final class Account {

    private Instant lastReturn = Instant.MIN;
    private double granted;
    private double refused;
    private Duration longestDelay = Duration.ZERO;

    Decision decide(TenantAllowances.Owned owned, double cost, Duration patience, Instant now) {
      AllowanceBucket bucket = owned.bucket();
      Duration delay = seconds(bucket.secondsUntil(cost));
      // After the end of the share another node may hold it.
      boolean early = now.plus(delay).isBefore(owned.until()) && delay.compareTo(MAX_DELAY) <= 0;
      if (delay.compareTo(patience) > 0 || !early) {
        refused += cost;
        return new Decision(false, addReturn(cost, delay, bucket.rate(), now));
      }
      bucket.take(cost);
      granted += cost;
      longestDelay = Durations.max(delay, longestDelay);
      return new Decision(true, delay);
    }

    /** Returns the time after which a refused caller returns: when the earlier ones were served. */
    private Duration addReturn(double cost, Duration free, double rate, Instant now) {
      Instant at = now.plus(free).isAfter(lastReturn) ? now.plus(free) : lastReturn;
      Duration wait = Duration.between(now, at);
      if (wait.compareTo(TenantAllowances.MAX_RETRY_AFTER) >= 0) {
        return TenantAllowances.MAX_RETRY_AFTER;
      }
      lastReturn = at.plus(seconds(cost / rate));
      return wait;
    }

    void resetCounts() {
      granted = 0;
      refused = 0;
      longestDelay = Duration.ZERO;
    }

    private static Duration seconds(double seconds) {
      double bounded = Math.min(seconds, (double) TenantAllowances.MAX_RETRY_AFTER.toSeconds());
      return Duration.ofMillis((long) Math.ceil(1_000 * bounded));
    }
  }
}
