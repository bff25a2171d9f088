package dev.wisteriarail.core.tenant;

/**
 * A part of a tenant's allowance that the coordinator grants to a node in addition to its floor, or
 * asks it to lend.
 *
 * @param tenant the tenant's name
 * @param number number of the grant; a later grant has a higher one, also of another coordinator
 * @param share granted share of rate and burst
 * @param lent granted share of the rate that other nodes lend
 * @param answersMillis {@link TenantUse#sentMillis} of the report that the grant answers, from
 *     which its validity counts; 0 if it grants nothing
 * @param lendMillis time from its receipt for which the node lends the rate of its floor; 0 if it
 *     does not lend
 */
public record ShareGrant(
    String tenant, long number, double share, double lent, long answersMillis, long lendMillis) {

  /** Largest time that is added to without an overflow. */
  private static final long MAX_MILLIS = Long.MAX_VALUE / 4_000_000;

  /** Returns whether all fields are in their ranges, as decoding does not check them. */
  public boolean isUsable() {
    return tenant != null
        && number > 0
        && share >= 0
        && share <= 1
        && lent >= 0
        && lent <= 1
        && answersMillis >= 0
        && answersMillis <= MAX_MILLIS
        && lendMillis >= 0
        && lendMillis <= AllowanceLedger.LOAN_VALIDITY.toMillis();
  }
}
