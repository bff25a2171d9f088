package dev.wisteriarail.core.tenant;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Divides the part of each tenant's allowance that is not in the floors among the nodes, on the
 * coordinator.
 *
 * <p>Each tenant has an owner, the node that holds {@link #OWNER_SHARE} and decides on requests
 * that the shares of other nodes do not hold. The owner stays the same while it runs, whoever
 * coordinates. The rest is divided among the nodes that the tenant's callers use.
 *
 * <p>Every grant counts until the node has acknowledged a later one or until it has expired, so
 * that the sum of the shares in force never exceeds 1, whatever messages are lost. A grant counts
 * as expired one validity period after the report that it answers was received, which is never
 * before it expires on the node.
 *
 * <p>Connections are spread unevenly: a tenant may use a third of the nodes only. If its demand is
 * high, the other nodes are asked to lend the rate of their floors. A loan counts only after its
 * acknowledgement and while it outlasts every grant that is made from it.
 *
 * <p>A new coordinator does not know what its predecessor granted to nodes that have not reported.
 * For one validity period it therefore grants only as much as the nodes that reported had.
 *
 * <p>Life cycle: one per node process; {@link #begin} when the node gains the lease. Not
 * thread-safe.
 */
public final class AllowanceLedger {

  /** Time for which a grant is valid after the report that it answers was sent. */
  public static final Duration GRANT_VALIDITY = Duration.ofSeconds(4);

  /**
   * Time for which the owner's share is valid after the report that the grant answers was sent: the
   * lease of a lost coordinator, a claim, and a renewal by the next coordinator.
   */
  static final Duration OWNER_VALIDITY = Duration.ofSeconds(8);

  /** Share of each allowance that the owner of the tenant holds. */
  public static final double OWNER_SHARE = 0.9;

  /** Time for which a node lends after it was asked to: that of a grant, and of two renewals. */
  static final Duration LOAN_VALIDITY = Duration.ofSeconds(8);

  /** Interval between two requests to lend. */
  private static final Duration LOAN_INTERVAL = Duration.ofSeconds(2);

  /** Part of a tenant's rate that its callers demand from which idle nodes are asked to lend. */
  private static final double LOAN_DEMAND = 0.2;

  /** Interval between two divisions of a tenant's allowance; nodes report four times less often. */
  private static final Duration DIVISION_INTERVAL = Duration.ofMillis(100);

  /** Shares are multiples of one in this many, which keeps messages short. */
  private static final double SHARE_UNITS = 1e5;

  /** Bits of a grant's number below the fencing number of its coordinator. */
  private static final int NUMBER_BITS = 36;

  private final AllowanceLimits limits;
  private final Map<String, Allowance> allowances = new TreeMap<>();
  private final Map<String, Map<String, ShareHolder>> holders = new HashMap<>();
  private final Map<String, Long> incarnations = new HashMap<>();
  private final Map<String, Division> divisions = new HashMap<>();
  private final Map<String, String> owners = new TreeMap<>();
  private final Map<String, Double> ownerDeficits = new HashMap<>();
  private final Set<String> accounted = new HashSet<>();
  private int nodes = 1;
  private long nextNumber = 1;
  private Instant startedAt = Instant.EPOCH;

  private AllowanceLedger(AllowanceLimits limits) {
    this.limits = limits;
  }

  /** Creates a ledger without grants. */
  public static AllowanceLedger create(AllowanceLimits limits) {
    return new AllowanceLedger(limits);
  }

  /**
   * Starts anew with a lease.
   *
   * @param fence the fencing number of the lease
   * @param knownOwners the owners that the previous holder of the lease chose
   */
  public void begin(long fence, List<TenantOwner> knownOwners, Instant now) {
    holders.clear();
    incarnations.clear();
    divisions.clear();
    owners.clear();
    ownerDeficits.clear();
    knownOwners.forEach(owner -> owners.put(owner.tenant(), owner.node()));
    accounted.clear();
    nextNumber = firstNumber(fence);
    startedAt = now;
  }

  /** Returns the lowest number of a grant of a coordinator. */
  static long firstNumber(long fence) {
    return (fence << NUMBER_BITS) + 1;
  }

  /** Returns whether a share makes its holder the owner of the tenant. */
  static boolean isOwnerShare(double share) {
    return share >= OWNER_SHARE;
  }

  /** Returns for how long a grant of a share is valid. */
  static Duration validity(double share) {
    return isOwnerShare(share) ? OWNER_VALIDITY : GRANT_VALIDITY;
  }

  /** Applies the tenants of a configuration and the number of nodes that share the floors. */
  public void configure(List<TenantSpec> tenants, int newNodes) {
    nodes = Math.max(1, newNodes);
    allowances.clear();
    for (TenantSpec tenant : tenants) {
      if (tenant.allowance().isLimited()) {
        allowances.put(tenant.name(), tenant.allowance());
      }
    }
    holders.keySet().retainAll(allowances.keySet());
    divisions.clear();
  }

  /**
   * Chooses the owners. Tenants keep theirs while it runs; the others get the candidate whose
   * tenants have the lowest rates.
   *
   * @param candidates the nodes that may become owners; not empty
   * @param running the nodes that may stay owners
   */
  public void chooseOwners(List<String> candidates, Set<String> running) {
    owners.keySet().retainAll(allowances.keySet());
    owners.values().retainAll(running);
    Map<String, Double> rates = new HashMap<>();
    owners.forEach((tenant, node) -> rates.merge(node, rate(tenant), Double::sum));
    allowances.keySet().stream()
        .filter(tenant -> !owners.containsKey(tenant))
        .sorted(Comparator.comparingDouble(this::rate).reversed())
        .toList()
        .forEach(
            tenant -> {
              String owner =
                  candidates.stream()
                      .min(Comparator.comparingDouble(node -> rates.getOrDefault(node, 0.0)))
                      .orElseThrow();
              owners.put(tenant, owner);
              rates.merge(owner, rate(tenant), Double::sum);
            });
  }

  private double rate(String tenant) {
    return allowances.get(tenant).ratePerSecond();
  }

  /** Returns the owners of all limited tenants. */
  public List<TenantOwner> owners() {
    return owners.entrySet().stream()
        .map(entry -> new TenantOwner(entry.getKey(), entry.getValue()))
        .toList();
  }

  /**
   * Handles a node's report.
   *
   * @param owner whether the node owns a tenant
   */
  public void accept(
      String node, long incarnation, List<TenantUse> uses, boolean owner, Instant now) {
    if (!owner || !uses.isEmpty()) {
      accounted.add(node);
    }
    Long before = incarnations.put(node, incarnation);
    if (before != null && before != incarnation) {
      // The new run of the node does not know what the earlier one lent.
      holders.values().stream()
          .map(byNode -> byNode.get(key(node, before)))
          .flatMap(Stream::ofNullable)
          .forEach(
              holder -> {
                holder.endLoan();
                holder.endOwnership();
              });
    }
    for (TenantUse use : uses) {
      if (allowances.containsKey(use.tenant())) {
        ShareHolder holder = holder(use.tenant(), key(node, incarnation));
        holder.accept(use, now);
        if (holder.reportsOwnership()) {
          ownerDeficits.put(use.tenant(), holder.deficit());
        }
      }
    }
  }

  private ShareHolder holder(String tenant, String key) {
    return holders
        .computeIfAbsent(tenant, name -> new TreeMap<>())
        .computeIfAbsent(key, name -> new ShareHolder());
  }

  /** Returns the grants for a node that has reported; empty if nothing changes. */
  public List<ShareGrant> grantsFor(String node, Instant now) {
    List<ShareGrant> grants = new ArrayList<>();
    Long incarnation = incarnations.get(node);
    if (incarnation == null) {
      return grants;
    }
    allowances.forEach(
        (tenant, allowance) -> {
          Map<String, ShareHolder> byNode = holders.get(tenant);
          if (byNode != null) {
            byNode.values().removeIf(each -> each.isForgotten(now));
            boolean active = byNode.values().stream().anyMatch(each -> each.isActive(now));
            if (active || byNode.containsKey(key(node, incarnation))) {
              ShareHolder holder = holder(tenant, key(node, incarnation));
              boolean owner = node.equals(owners.get(tenant));
              grant(tenant, allowance, holder, owner, now).ifPresent(grants::add);
            }
          }
        });
    return grants;
  }

  private Optional<ShareGrant> grant(
      String tenant, Allowance allowance, ShareHolder holder, boolean owner, Instant now) {
    final List<ShareHolder> all = List.copyOf(holders.get(tenant).values());
    boolean takingOver = now.isBefore(startedAt.plus(GRANT_VALIDITY));
    double rate = 0;
    double burst = 0;
    boolean keepsGrant = takingOver && holder.hasInheritedGrant(now);
    if (holder.isUnanswered() && !keepsGrant) {
      double ratePool = 1 - TenantAllowances.FLOORS - OWNER_SHARE;
      double burstPool = 1 - TenantAllowances.FLOORS - OWNER_SHARE;
      double othersRate = -withoutOwnerShare(holder.heldRate(now));
      double othersBurst = -withoutOwnerShare(holder.heldBurst(now));
      double inheritedRate = 0;
      double inheritedBurst = 0;
      Instant end = now.plus(GRANT_VALIDITY);
      for (ShareHolder each : all) {
        ratePool += each.lendsAt(end) ? lentByNode() : 0;
        burstPool += each.lendsBurstAt(end) ? lentByNode() : 0;
        othersRate += withoutOwnerShare(each.heldRate(now));
        othersBurst += withoutOwnerShare(each.heldBurst(now));
        inheritedRate += withoutOwnerShare(each.inheritedRate());
        inheritedBurst += withoutOwnerShare(each.inheritedBurst());
      }
      ratePool = takingOver ? Math.min(ratePool, inheritedRate) : ratePool;
      burstPool = takingOver ? Math.min(burstPool, inheritedBurst) : burstPool;
      ShareTargets.Target target =
          targets(tenant, allowance, all, ratePool, burstPool, now)
              .getOrDefault(holder, ShareTargets.Target.NONE);
      rate = within(target.rate(), ratePool - othersRate);
      burst = within(target.burst(), burstPool - othersBurst);
      if (owner && mayMakeOwner(holder, all, now)) {
        rate = OWNER_SHARE;
        burst = OWNER_SHARE;
      }
    }
    boolean lends = isLoanDue(allowance, holder, all, now);
    boolean grants = holder.isUnanswered() && !keepsGrant && holder.needs(rate, burst, now);
    if (!grants && !lends) {
      return Optional.empty();
    }
    long number = nextNumber++;
    final long answers = holder.add(number, rate, burst, now);
    boolean lendsBurst = lends && isFloorTooSmall(allowance, all);
    if (lends) {
      holder.askToLend(number, lendsBurst, now);
    }
    long lendMillis = lends ? LOAN_VALIDITY.toMillis() : 0;
    double deficit = ownerDeficits.getOrDefault(tenant, ShareGrant.UNKNOWN_DEFICIT);
    return Optional.of(
        new ShareGrant(tenant, number, rate, burst, answers, lendMillis, lendsBurst, deficit));
  }

  /** Returns whether no other node may hold the owner's share, also by an earlier coordinator. */
  private boolean mayMakeOwner(ShareHolder holder, List<ShareHolder> all, Instant now) {
    boolean held = all.stream().anyMatch(each -> each != holder && each.mayOwn(now));
    boolean othersUnknown =
        now.isBefore(startedAt.plus(OWNER_VALIDITY)) && accounted.size() < nodes;
    return !held && (!othersUnknown || isOwnerShare(holder.inheritedRate()));
  }

  /** Returns what of a held share comes from the part that is divided among all nodes. */
  private static double withoutOwnerShare(double share) {
    return isOwnerShare(share) ? share - OWNER_SHARE : share;
  }

  /** Returns whether a floor admits none of the requests like the largest recent one. */
  private boolean isFloorTooSmall(Allowance allowance, List<ShareHolder> all) {
    double largest = all.stream().mapToDouble(ShareHolder::largest).max().orElse(0);
    return largest > limits.largestCost(allowance, floor());
  }

  private Map<ShareHolder, ShareTargets.Target> targets(
      String tenant,
      Allowance allowance,
      List<ShareHolder> all,
      double ratePool,
      double burstPool,
      Instant now) {
    Division last = divisions.get(tenant);
    if (last == null || !now.isBefore(last.at.plus(DIVISION_INTERVAL))) {
      double perShare = limits.largestCost(allowance, 1);
      last = new Division(ShareTargets.of(all, floor(), ratePool, burstPool, perShare, now), now);
      divisions.put(tenant, last);
    }
    return last.targets;
  }

  private boolean isLoanDue(
      Allowance allowance, ShareHolder holder, List<ShareHolder> all, Instant now) {
    double demand = all.stream().mapToDouble(each -> each.demand(now)).sum();
    return demand > LOAN_DEMAND * allowance.ratePerSecond()
        && !holder.isActive(now)
        && holder.heldRate(now) + holder.heldBurst(now) == 0
        && !now.isBefore(holder.askedAt().plus(LOAN_INTERVAL));
  }

  private double floor() {
    return TenantAllowances.FLOORS / nodes;
  }

  private double lentByNode() {
    return floor() * TenantAllowances.LENT_PART;
  }

  private static double within(double wanted, double free) {
    return Math.floor(Math.max(0, Math.min(wanted, free)) * SHARE_UNITS) / SHARE_UNITS;
  }

  private static String key(String node, long incarnation) {
    return node + "#" + incarnation;
  }

  private record Division(Map<ShareHolder, ShareTargets.Target> targets, Instant at) {}
}
