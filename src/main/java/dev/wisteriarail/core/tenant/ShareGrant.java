package dev.wisteriarail.core.tenant;

/**
 * Parts of a tenant's allowance that the coordinator grants to a node in addition to its floor, or
 * asks it to lend.
 *
 * @param tenant the tenant's name
 * @param number number of the grant; a later grant has a higher one, also of another coordinator
 * @param rate granted share of the rate
 * @param burst granted share of the burst
 * @param answersMillis {@link TenantUse#sentMillis} of the report that the grant answers, from
 *     which its validity counts; 0 if it grants nothing
 * @param lendMillis time from its receipt for which the node lends the rate of its floor; 0 if it
 *     does not lend
 * @param lendsBurst whether the node lends the burst of its floor, too
 * @param deficit what the bucket of a new owner lacks to be full, as its predecessor last reported;
 *     {@link #UNKNOWN_DEFICIT} if it is unknown
 */
public record ShareGrant(
    String tenant,
    long number,
    double rate,
    double burst,
    long answersMillis,
    long lendMillis,
    boolean lendsBurst,
    double deficit) {

  /** Deficit of an owner whose predecessor is unknown. */
  public static final double UNKNOWN_DEFICIT = -1;

  /** Largest time that is added to without an overflow. */
  private static final long MAX_MILLIS = Long.MAX_VALUE / 4_000_000;

  /** Returns whether all fields are in their ranges, as decoding does not check them. */
  public boolean isUsable() {
    return tenant != null
        && number > 0
        && rate >= 0
        && rate <= 1
        && burst >= 0
        && burst <= 1
        && answersMillis >= 0
        && answersMillis <= MAX_MILLIS
        && lendMillis >= 0
        && lendMillis <= AllowanceLedger.LOAN_VALIDITY.toMillis()
        && Double.isFinite(deficit);
  }

  /** Returns whether the receiver becomes or stays the owner of the tenant. */
  boolean makesOwner() {
    return AllowanceLedger.isOwnerShare(rate);
  }
}
