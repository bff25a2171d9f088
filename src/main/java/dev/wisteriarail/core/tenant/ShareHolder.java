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
  private static final double RESERVED_REQUESTS = 2;

  private final List<Outstanding> outstanding = new ArrayList<>();
  private final List<Loan> loans = new ArrayList<>();
  private TenantUse use = new TenantUse("", 0, 0, 0, 0, 0, 0, 0, 0);
  private Instant receivedAt = Instant.EPOCH;
  private Instant grantedAt = Instant.EPOCH;
  private Instant lendsUntil = Instant.EPOCH;
  private Instant askedAt = Instant.EPOCH;
  private double inheritedShare;
  private double inheritedLent;
  private boolean reported;
  private boolean unanswered;

  // Changes

  /** Handles a report, unless a newer one was received before. */
  void accept(TenantUse newUse, Instant now) {
    if (reported && newUse.sentMillis() < use.sentMillis()) {
      return;
    }
    boolean ended = newUse.share() + newUse.lent() == 0;
    outstanding.removeIf(
        each -> each.number < newUse.number() || (ended && each.number == newUse.number()));
    boolean known = outstanding.stream().anyMatch(each -> each.number == newUse.number());
    if (!known && !ended) {
      outstanding.addFirst(
          new Outstanding(
              newUse.number(),
              newUse.share(),
              newUse.lent(),
              now.plusMillis(newUse.validMillis()),
              true));
      inheritedShare = reported ? inheritedShare : newUse.share();
      inheritedLent = reported ? inheritedLent : newUse.lent();
    }
    for (Loan loan : loans) {
      if (loan.number == newUse.loan()) {
        Instant end = loan.askedAt.plus(AllowanceLedger.LOAN_VALIDITY);
        lendsUntil = end.isAfter(lendsUntil) ? end : lendsUntil;
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
  long add(long number, double share, double lent, Instant now) {
    outstanding.add(
        new Outstanding(
            number, share, lent, receivedAt.plus(AllowanceLedger.GRANT_VALIDITY), false));
    grantedAt = now;
    unanswered = false;
    return use.sentMillis();
  }

  /** Records that the node was asked to lend. */
  void askToLend(long number, Instant now) {
    loans.removeIf(loan -> now.isAfter(loan.askedAt.plus(AllowanceLedger.LOAN_VALIDITY)));
    loans.add(new Loan(number, now));
    askedAt = now;
  }

  void endLoan() {
    lendsUntil = Instant.EPOCH;
    loans.clear();
  }

  // Accessors

  /** Returns the largest share that may be in force at the node. */
  double heldShare(Instant now) {
    return outstanding.stream()
        .filter(each -> now.isBefore(each.expiresAt))
        .mapToDouble(Outstanding::share)
        .max()
        .orElse(0);
  }

  /** Returns the largest lent share that may be in force at the node. */
  double heldLent(Instant now) {
    return outstanding.stream()
        .filter(each -> now.isBefore(each.expiresAt))
        .mapToDouble(Outstanding::lent)
        .max()
        .orElse(0);
  }

  /** Returns whether a grant has to be sent so that the node has these shares. */
  boolean needs(double share, double lent, Instant now) {
    double wanted = share + lent;
    double current = 0;
    if (!outstanding.isEmpty() && now.isBefore(outstanding.getLast().expiresAt)) {
      current = outstanding.getLast().share() + outstanding.getLast().lent();
    }
    if (current == 0 && wanted == 0) {
      return false;
    }
    return !now.isBefore(grantedAt.plus(RENEWAL_AGE))
        || Math.abs(wanted - current) > SIGNIFICANT_CHANGE * current;
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
        && !now.isBefore(askedAt.plus(AllowanceLedger.LOAN_VALIDITY));
  }

  /** Returns whether the node is known to lend until a time. */
  boolean lendsAt(Instant time) {
    return time.isBefore(lendsUntil);
  }

  double demand(Instant now) {
    return isActive(now) ? use.demand() : 0;
  }

  /** Returns the part of the allowance to give the node, relative to other nodes. */
  double weight(Instant now) {
    return isActive(now) ? use.demand() + RESERVED_REQUESTS * use.largest() : 0;
  }

  double largest() {
    return use.largest();
  }

  Instant askedAt() {
    return askedAt;
  }

  double inheritedShare() {
    return inheritedShare;
  }

  double inheritedLent() {
    return inheritedLent;
  }

  private record Outstanding(
      long number, double share, double lent, Instant expiresAt, boolean inherited) {}

  private record Loan(long number, Instant askedAt) {}
}
