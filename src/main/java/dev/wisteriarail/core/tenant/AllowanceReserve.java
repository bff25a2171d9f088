package dev.wisteriarail.core.tenant;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The part of each tenant's allowance that the coordinator gives to single requests, on behalf of
 * the nodes whose own shares do not suffice.
 *
 * <p>The shares of a small tenant whose callers use many nodes are smaller than a request. One
 * bucket for all of them admits what the tenant is owed, wherever its requests arrive.
 *
 * <p>A new coordinator does not know what its predecessor gave, so that its buckets start with the
 * largest debt.
 *
 * <p>Life cycle: one per node process; {@link #begin} when the node gains the lease. Not
 * thread-safe.
 */
public final class AllowanceReserve {

  /** Share of each allowance that is not in the floors and not granted to nodes. */
  public static final double SHARE = 0.8;

  /** Time for which answers are kept; nodes ask again for a shorter time. */
  private static final Duration ANSWER_RETENTION = Duration.ofSeconds(1);

  private final AllowanceLimits limits;
  private final Map<String, Account> accounts = new HashMap<>();
  private final Map<String, Answer> answers = new LinkedHashMap<>();
  private final Map<String, Allowance> allowances = new HashMap<>();

  private AllowanceReserve(AllowanceLimits limits) {
    this.limits = limits;
  }

  /** Creates a reserve without tenants. */
  public static AllowanceReserve create(AllowanceLimits limits) {
    return new AllowanceReserve(limits);
  }

  /** Starts anew with a lease. */
  public void begin(Instant now) {
    accounts.clear();
    answers.clear();
    allowances.keySet().forEach(tenant -> addAccount(tenant, now));
  }

  /** Applies the tenants of a configuration. Those that stay keep what they have used. */
  public void configure(List<TenantSpec> tenants, Instant now) {
    allowances.clear();
    for (TenantSpec tenant : tenants) {
      if (tenant.allowance().isLimited()) {
        allowances.put(tenant.name(), tenant.allowance());
        Account account = accounts.get(tenant.name());
        if (account == null) {
          addAccount(tenant.name(), now);
        } else {
          account.bucket.refill(now);
          account.bucket.setAllowance(tenant.allowance());
        }
      }
    }
    accounts.keySet().retainAll(allowances.keySet());
  }

  private void addAccount(String tenant, Instant now) {
    accounts.put(
        tenant,
        new Account(AllowanceBucket.createExhausted(limits, allowances.get(tenant), SHARE, now)));
  }

  /**
   * Takes the cost of a request if the reserve suffices. A question that is repeated gets the same
   * answer.
   *
   * @param question identifies the request among those of all nodes
   */
  public Decision take(String question, String tenant, double cost, Instant now) {
    answers.values().removeIf(answer -> now.isAfter(answer.at().plus(ANSWER_RETENTION)));
    return answers
        .computeIfAbsent(question, key -> new Answer(decide(tenant, cost, now), now))
        .decision();
  }

  private Decision decide(String tenant, double cost, Instant now) {
    Account account = accounts.get(tenant);
    if (account == null) {
      return new Decision(false, Duration.ZERO);
    }
    account.bucket.refill(now);
    return account.bucket.tryTake(cost)
        ? new Decision(true, Duration.ZERO)
        : new Decision(false, account.addReturn(cost, now));
  }

  /**
   * Whether a request may be served.
   *
   * @param granted whether its cost was taken
   * @param retryAfter time until the reserve holds the cost; 0 if it is unknown or was taken
   */
  public record Decision(boolean granted, Duration retryAfter) {}

  private record Answer(Decision decision, Instant at) {}

  /** What one tenant has used, and when those that were refused return. */
  private static final class Account {

    private final AllowanceBucket bucket;
    private Instant lastReturn = Instant.MIN;

    Account(AllowanceBucket bucket) {
      this.bucket = bucket;
    }

    /** Returns the time after which a refused caller returns: when the earlier ones were served. */
    Duration addReturn(double cost, Instant now) {
      Duration free = seconds(bucket.secondsUntil(cost));
      Instant at = now.plus(free).isAfter(lastReturn) ? now.plus(free) : lastReturn;
      Duration wait = Duration.between(now, at);
      if (wait.compareTo(TenantAllowances.MAX_RETRY_AFTER) >= 0) {
        return TenantAllowances.MAX_RETRY_AFTER;
      }
      lastReturn = at.plus(seconds(cost / bucket.rate()));
      return wait;
    }

    private static Duration seconds(double seconds) {
      double bounded = Math.min(seconds, (double) TenantAllowances.MAX_RETRY_AFTER.toSeconds());
      return Duration.ofMillis((long) Math.ceil(1_000 * bounded));
    }
  }
}
