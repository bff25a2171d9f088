package dev.wisteriarail.core.tenant;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * What one run of a node reported to the coordinator about a tenant, the grants that may be in
 * force there, and what it lends. Not thread-safe.
 */
final class ShareHolder {

  /** Age from which an unchanged grant is renewed: three renewals may be lost. */
  private static final Duration RENEWAL_AGE = Duration.ofSeconds(1);

  /** Relative change from which a grant is replaced before its renewal. */
  private static final double SIGNIFICANT_CHANGE = 0.1;

  /** Remaining validity up to which a grant of an earlier coordinator is not replaced yet. */
  private static final Duration INHERITED_RESERVE = Duration.ofMillis(1_200);

  /**
   * Requests per second by which a node's demand is taken to be higher than measured. The demand of
   * a node with a few requests per second varies by half of itself from one second to the next.
   */
  private static final double RESERVED_REQUESTS = 4;

  /**
   * Time in which a bucket should be full again, in seconds. Rate is of use in buckets that are not
   * full. With 0.3 s it follows chance: 159 of 43,647 requests at 0.55 of the limit were refused;
   * 17 with 6 s.
   */
  private static final double REFILL_SECONDS = 6;

  private final List<Outstanding> outstanding = new ArrayList<>();
  private final List<Loan> loans = new ArrayList<>();
  private TenantUse use = new TenantUse("", 0, 0, 0, 0, 0, 0, 0, 0, 0);
  private Instant receivedAt = Instant.EPOCH;
  private Instant grantedAt = Instant.EPOCH;
  private Instant lendsUntil = Instant.EPOCH;
  private Instant lendsBurstUntil = Instant.EPOCH;
  private Instant askedAt = Instant.EPOCH;
  private double inheritedRate;
  private double inheritedBurst;
  private boolean reported;
  private boolean unanswered;

  // Changes

  /** Handles a report, unless a newer one was received before. */
  void accept(TenantUse newUse, Instant now) {
    if (reported && newUse.sentMillis() < use.sentMillis()) {
      return;
    }
    boolean ended = newUse.rate() + newUse.burst() == 0;
    outstanding.removeIf(
        each -> each.number < newUse.number() || (ended && each.number == newUse.number()));
    boolean known = outstanding.stream().anyMatch(each -> each.number == newUse.number());
    if (!known && !ended) {
      outstanding.addFirst(
          new Outstanding(
              newUse.number(),
              newUse.rate(),
              newUse.burst(),
              now.plusMillis(newUse.validMillis()),
              true));
      inheritedRate = reported ? inheritedRate : newUse.rate();
      inheritedBurst = reported ? inheritedBurst : newUse.burst();
    }
    for (Loan loan : loans) {
      if (loan.number == newUse.loan()) {
        Instant end = loan.askedAt.plus(AllowanceLedger.LOAN_VALIDITY);
        lendsUntil = end.isAfter(lendsUntil) ? end : lendsUntil;
        lendsBurstUntil = loan.burst && end.isAfter(lendsBurstUntil) ? end : lendsBurstUntil;
      }
    }
    loans.removeIf(loan -> loan.number <= newUse.loan());
    use = newUse;
    receivedAt = now;
    reported = true;
    unanswered = true;
  }

  /**
   * Records a grant.
   *
   * @return time of the report that it answers, on the node's clock
   */
  long add(long number, double rate, double burst, Instant now) {
    outstanding.add(
        new Outstanding(
            number, rate, burst, receivedAt.plus(AllowanceLedger.validity(rate)), false));
    grantedAt = now;
    unanswered = false;
    return use.sentMillis();
  }

  /** Records that the node was asked to lend. */
  void askToLend(long number, boolean burst, Instant now) {
    loans.removeIf(loan -> now.isAfter(loan.askedAt.plus(AllowanceLedger.LOAN_VALIDITY)));
    loans.add(new Loan(number, burst, now));
    askedAt = now;
  }

  /** Ends the ownership, because the run of the node that had it has ended. */
  void endOwnership() {
    outstanding.removeIf(each -> AllowanceLedger.isOwnerShare(each.rate()));
  }

  void endLoan() {
    lendsUntil = Instant.EPOCH;
    lendsBurstUntil = Instant.EPOCH;
    loans.clear();
  }

  // Accessors

  /** Returns the largest share of the rate that may be in force at the node. */
  double heldRate(Instant now) {
    return outstanding.stream()
        .filter(each -> now.isBefore(each.expiresAt))
        .mapToDouble(Outstanding::rate)
        .max()
        .orElse(0);
  }

  /** Returns the largest share of the burst that may be in force at the node. */
  double heldBurst(Instant now) {
    return outstanding.stream()
        .filter(each -> now.isBefore(each.expiresAt))
        .mapToDouble(Outstanding::burst)
        .max()
        .orElse(0);
  }

  /** Returns whether the node may be the owner of the tenant. */
  boolean mayOwn(Instant now) {
    return AllowanceLedger.isOwnerShare(heldRate(now));
  }

  /** Returns whether the node reported that it is the owner of the tenant. */
  boolean reportsOwnership() {
    return AllowanceLedger.isOwnerShare(use.rate());
  }

  /** Returns what the node's bucket lacked to be full when it last reported. */
  double deficit() {
    return use.deficit();
  }

  /** Returns whether a grant has to be sent so that the node has these shares. */
  boolean needs(double rate, double burst, Instant now) {
    double rateNow = 0;
    double burstNow = 0;
    if (!outstanding.isEmpty() && now.isBefore(outstanding.getLast().expiresAt)) {
      rateNow = outstanding.getLast().rate();
      burstNow = outstanding.getLast().burst();
    }
    boolean withdrawn = use.rate() + use.burst() == 0;
    if (withdrawn && rateNow + burstNow + rate + burst == 0) {
      return false;
    }
    return !now.isBefore(grantedAt.plus(RENEWAL_AGE))
        || Math.abs(rate - rateNow) > SIGNIFICANT_CHANGE * rateNow
        || Math.abs(burst - burstNow) > SIGNIFICANT_CHANGE * burstNow;
  }

  /** Returns whether a grant of an earlier coordinator is in force for some time. */
  boolean hasInheritedGrant(Instant now) {
    return !outstanding.isEmpty()
        && outstanding.getLast().inherited
        && now.plus(INHERITED_RESERVE).isBefore(outstanding.getLast().expiresAt);
  }

  boolean isUnanswered() {
    return unanswered;
  }

  /** Returns whether callers of the tenant recently used the node. */
  boolean isActive(Instant now) {
    return use.largest() > 0 && now.isBefore(receivedAt.plus(AllowanceLedger.GRANT_VALIDITY));
  }

  boolean isForgotten(Instant now) {
    return !now.isBefore(receivedAt.plus(AllowanceLedger.GRANT_VALIDITY))
        && !mayOwn(now)
        && !now.isBefore(askedAt.plus(AllowanceLedger.LOAN_VALIDITY));
  }

  /** Returns whether the node is known to lend the burst of its floor until a time. */
  boolean lendsBurstAt(Instant time) {
    return time.isBefore(lendsBurstUntil);
  }

  /** Returns whether the node is known to lend the rate of its floor until a time. */
  boolean lendsAt(Instant time) {
    return time.isBefore(lendsUntil);
  }

  double demand(Instant now) {
    return isActive(now) ? use.demand() : 0;
  }

  /** Returns the part of the rate to give the node, relative to other nodes. */
  double rateWeight(Instant now) {
    return isActive(now) ? use.demand() + use.deficit() / REFILL_SECONDS : 0;
  }

  /** Returns the part of the burst to give the node, relative to other nodes. */
  double burstWeight(Instant now) {
    return isActive(now) ? use.demand() + RESERVED_REQUESTS * use.largest() : 0;
  }

  double largest() {
    return use.largest();
  }

  Instant askedAt() {
    return askedAt;
  }

  double inheritedRate() {
    return inheritedRate;
  }

  double inheritedBurst() {
    return inheritedBurst;
  }

  private record Outstanding(
      long number, double rate, double burst, Instant expiresAt, boolean inherited) {}

  private record Loan(long number, boolean burst, Instant askedAt) {}
}
