package dev.wisteriarail.core.tenant;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Decides on one node whether a tenant's request is within the tenant's allowance.
 *
 * <p>The allowance applies to all nodes together, and callers use few of them. Each node has a
 * share: its floor, and what the coordinator grants it for some seconds. A node where a tenant has
 * no callers lends most of the rate of its floor when the coordinator asks for it, and of its burst
 * unless that suffices for a first request. The sum of all shares never exceeds 1.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class TenantAllowances {

  /** Sum of the floors of all nodes. */
  public static final double FLOORS = 0.08;

  /** Part of its floor that a node lends. */
  static final double LENT_PART = 0.9;

  /** Minimum time between two reports, so that they stay below 4 KB/s for 16 tenants. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(400);

  /** Reports about a loan or a grant that is no longer in force, in case one is lost. */
  private static final int NEWS_REPORTS = 2;

  /** Retry-after time of requests that the present share can never admit. */
  static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

  /** Part of the retry-after time over which callers are spread. */
  private static final double RETRY_SPREAD = 0.25;

  private static final int SPREAD_STEPS = 1_000;

  private final AllowanceLimits limits;
  private final Map<String, Account> accounts = new TreeMap<>();
  private double floor;
  private Instant nextReport = Instant.MIN;
  private long firstNumber;
  private Instant resumedAt = Instant.EPOCH;

  private TenantAllowances(AllowanceLimits limits) {
    this.limits = limits;
  }

  /** Creates allowances without tenants; the floor is 0 until the number of nodes is known. */
  public static TenantAllowances create(AllowanceLimits limits) {
    return new TenantAllowances(limits);
  }

  // Configuration

  /** Applies a configuration. Tenants that stay keep what they have used. */
  public void configure(List<TenantSpec> tenants, Instant now) {
    Set<String> limited = new HashSet<>();
    for (TenantSpec tenant : tenants) {
      if (tenant.allowance().isLimited()) {
        limited.add(tenant.name());
        Account account = accounts.get(tenant.name());
        if (account == null) {
          accounts.put(tenant.name(), new Account(tenant.allowance(), now));
        } else {
          account.advance(now);
          account.bucket.setAllowance(tenant.allowance());
        }
      }
    }
    accounts.keySet().retainAll(limited);
  }

  /**
   * Sets the number of nodes that share the floors.
   *
   * @param nodes number of nodes, which must not be too low
   */
  public void setNodes(int nodes, Instant now) {
    double newFloor = FLOORS / Math.max(1, nodes);
    if (newFloor != floor) {
      floor = newFloor;
      accounts.values().forEach(account -> account.advance(now));
    }
  }

  // Requests

  /** Takes the cost of a request from the tenant's allowance if it suffices. */
  public boolean tryAcquire(TenantSpec tenant, double cost, Instant now) {
    Account account = accounts.get(tenant.name());
    if (account == null) {
      return true;
    }
    account.advance(now);
    account.demand.add(cost, now);
    boolean taken = account.bucket.tryTake(cost);
    if (taken) {
      account.admitted += cost;
    } else {
      account.refused += cost;
    }
    return taken;
  }

  /** The same for a request for which this was called before, without success. */
  public boolean tryAcquireAgain(TenantSpec tenant, double cost, Instant now) {
    Account account = accounts.get(tenant.name());
    if (account == null) {
      return true;
    }
    account.advance(now);
    boolean taken = account.bucket.tryTake(cost);
    if (taken) {
      recordAdmitted(tenant, cost);
    }
    return taken;
  }

  /**
   * Returns when a refused request can be admitted, spread by its fingerprint so that callers do
   * not return together.
   */
  public Duration retryAfter(TenantSpec tenant, double cost, long fingerprint, Instant now) {
    Account account = accounts.get(tenant.name());
    if (account == null) {
      return Duration.ZERO;
    }
    account.advance(now);
    double seconds =
        Math.min(account.bucket.secondsUntil(cost), (double) MAX_RETRY_AFTER.toSeconds());
    double spread =
        RETRY_SPREAD * Math.floorMod(Long.hashCode(fingerprint), SPREAD_STEPS) / SPREAD_STEPS;
    return Duration.ofMillis((long) Math.ceil(1_000 * seconds * (1 + spread)));
  }

  /** Counts a refused request as admitted after all. */
  public void recordAdmitted(TenantSpec tenant, double cost) {
    Account account = accounts.get(tenant.name());
    if (account != null) {
      account.admitted += cost;
      account.refused -= cost;
    }
  }

  /** Counts a request that {@link #recordAdmitted} counted as not admitted, as it did not run. */
  public void recordReturned(TenantSpec tenant, double cost) {
    Account account = accounts.get(tenant.name());
    if (account != null) {
      account.admitted -= cost;
    }
  }

  /** Returns the cost of a request that ended without having run. */
  public void giveBack(TenantSpec tenant, double cost, Instant now) {
    Account account = accounts.get(tenant.name());
    if (account != null) {
      account.advance(now);
      account.bucket.giveBack(cost);
      account.admitted -= cost;
    }
  }

  // Owned tenants

  /** Sets the tenants of which this node is told to be the owner, which it reports from now on. */
  public void setOwned(Set<String> tenants) {
    accounts.forEach((tenant, account) -> account.toOwn = tenants.contains(tenant));
  }

  /** Returns whether this node owns a tenant. */
  public boolean ownsTenant(Instant now) {
    return accounts.values().stream()
        .anyMatch(account -> account.isOwner() && now.isBefore(account.validUntil));
  }

  /** Returns the bucket of a tenant that this node owns; empty if it does not own it. */
  Optional<Owned> owned(String tenant, Instant now) {
    Account account = accounts.get(tenant);
    if (account == null) {
      return Optional.empty();
    }
    account.advance(now);
    return account.isOwner()
        ? Optional.of(new Owned(account.bucket, account.validUntil))
        : Optional.empty();
  }

  /**
   * Share of a tenant that this node owns.
   *
   * @param bucket what the share holds
   * @param until end of the share if it is not renewed
   */
  record Owned(AllowanceBucket bucket, Instant until) {}

  // Shares

  /** Returns whether a report is due. */
  public boolean isReportDue(Instant now) {
    return !accounts.isEmpty() && !now.isBefore(nextReport);
  }

  /** Returns the tenants with recent requests or a grant, for the coordinator. */
  public List<TenantUse> report(Instant now) {
    nextReport = now.plus(REPORT_INTERVAL);
    List<TenantUse> uses = new ArrayList<>();
    accounts.forEach(
        (tenant, account) -> {
          account.advance(now);
          if (account.isReported(now)) {
            account.newsReports--;
            uses.add(account.use(tenant, now));
          }
        });
    return uses;
  }

  /**
   * Ignores the grants of earlier coordinators from now on, as a later one was told which grants
   * are in force.
   *
   * @param fence fencing number of the coordinator
   */
  public void ignoreGrantsBefore(long fence) {
    firstNumber = Math.max(firstNumber, AllowanceLedger.firstNumber(fence));
  }

  /**
   * Handles grants. Those that are older than the one in force are ignored, as they may be of an
   * earlier coordinator.
   *
   * @return the grants that made this node the owner of a tenant
   */
  public List<ShareGrant> accept(List<ShareGrant> grants, Instant now) {
    List<ShareGrant> ownerships = new ArrayList<>();
    for (ShareGrant grant : grants) {
      Account account = accounts.get(grant.tenant());
      boolean late = grant.answersMillis() < resumedAt.toEpochMilli();
      boolean outdated = grant.number() < firstNumber;
      if (account != null && grant.number() > account.number && !outdated && !late) {
        account.advance(now);
        final boolean takesOver = grant.makesOwner() && !account.isOwner();
        account.newsReports = account.hasGrant() ? NEWS_REPORTS : account.newsReports;
        account.number = grant.number();
        account.grantedRate = grant.rate();
        account.grantedBurst = grant.burst();
        account.validUntil =
            Instant.ofEpochMilli(grant.answersMillis())
                .plus(AllowanceLedger.validity(grant.rate()));
        if (grant.lendMillis() > 0) {
          account.lend(grant, now);
        }
        account.advance(now);
        if (takesOver && account.isOwner()) {
          account.takeOver(grant.deficit(), now);
          ownerships.add(grant);
        }
      }
    }
    return ownerships;
  }

  /** Returns this node's share of a tenant's rate. */
  public double share(TenantSpec tenant) {
    Account account = accounts.get(tenant.name());
    return account == null ? 1 : account.bucket.rateShare();
  }

  /**
   * Ends all grants, because the node was suspended and its clock may not have gone on: nothing
   * tells whether they are still valid. Grants that answer earlier reports are ignored.
   */
  public void endGrants(Instant now) {
    resumedAt = now;
    for (Account account : accounts.values()) {
      account.validUntil = now.isBefore(account.validUntil) ? now : account.validUntil;
      account.advance(now);
    }
  }

  /** Returns what was admitted and refused for each limited tenant, and the share in force. */
  public List<TenantCount> counts(Instant now) {
    List<TenantCount> counts = new ArrayList<>();
    accounts.forEach(
        (tenant, account) -> {
          account.advance(now);
          counts.add(
              new TenantCount(
                  tenant, account.admitted, account.refused, account.bucket.rateShare()));
        });
    return counts;
  }

  private static Instant later(Instant a, Instant b) {
    return a.isAfter(b) ? a : b;
  }

  /** What one tenant has used on this node. */
  private final class Account {

    private final AllowanceBucket bucket;
    private final DemandMeter demand = new DemandMeter();
    private long number;
    private double grantedRate;
    private double grantedBurst;
    private Instant validUntil = Instant.EPOCH;
    private long loan;
    private int newsReports;
    private boolean toOwn;
    private Instant lendsUntil = Instant.EPOCH;
    private Instant lendsBurstUntil = Instant.EPOCH;
    private double admitted;
    private double refused;

    private Account(Allowance allowance, Instant now) {
      bucket = AllowanceBucket.create(limits, allowance, floor, now);
    }

    private void lend(ShareGrant grant, Instant now) {
      Instant until = now.plusMillis(grant.lendMillis());
      loan = grant.number();
      newsReports = NEWS_REPORTS;
      lendsUntil = later(until, lendsUntil);
      lendsBurstUntil = grant.lendsBurst() ? later(until, lendsBurstUntil) : lendsBurstUntil;
    }

    private boolean isOwner() {
      return AllowanceLedger.isOwnerShare(grantedRate);
    }

    private void takeOver(double deficit, Instant now) {
      if (deficit == ShareGrant.UNKNOWN_DEFICIT) {
        bucket.exhaust(AllowanceDecisions.MAX_DELAY, now);
      } else {
        bucket.lower(deficit);
      }
    }

    private boolean isReported(Instant now) {
      return demand.isRecent(now) || hasGrant() || toOwn || newsReports > 0;
    }

    private boolean hasGrant() {
      return grantedRate + grantedBurst > 0;
    }

    /** Refills the bucket with the shares of each moment; grants and loans may have ended. */
    private void advance(Instant now) {
      Stream.of(validUntil, lendsUntil, lendsBurstUntil)
          .filter(end -> end.isAfter(bucket.refilledAt()) && end.isBefore(now))
          .sorted()
          .forEach(this::refill);
      refill(now);
    }

    private void refill(Instant now) {
      bucket.refill(now);
      if (!now.isBefore(validUntil)) {
        grantedRate = 0;
        grantedBurst = 0;
      }
      double ownRate = now.isBefore(lendsUntil) ? floor * (1 - LENT_PART) : floor;
      double ownBurst = now.isBefore(lendsBurstUntil) ? floor * (1 - LENT_PART) : floor;
      bucket.setShares(ownRate + grantedRate, ownBurst + grantedBurst);
    }

    private TenantUse use(String tenant, Instant now) {
      long validMillis = hasGrant() ? Duration.between(now, validUntil).toMillis() : 0;
      return new TenantUse(
          tenant,
          Math.rint(demand.perSecond(now) * 10) / 10,
          Math.ceil(demand.largest(now)),
          Math.ceil(bucket.deficit()),
          number,
          grantedRate,
          grantedBurst,
          loan,
          Math.max(0, validMillis),
          now.toEpochMilli());
    }
  }
}
