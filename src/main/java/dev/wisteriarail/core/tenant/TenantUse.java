package dev.wisteriarail.core.tenant;

/**
 * A node's report about one tenant to the coordinator.
 *
 * @param tenant the tenant's name
 * @param demand cost per second that callers demand at the node, admitted and refused
 * @param largest largest cost of a recent request
 * @param deficit what the node's bucket lacks to be full
 * @param number number of the newest grant that the node has received; 0 if none
 * @param rate share of the rate that this grant gives the node; 0 if it is no longer valid
 * @param burst share of the burst that this grant gives the node; 0 if it is no longer valid
 * @param loan number of the newest grant that asked the node to lend; 0 if none did
 * @param validMillis for how long the grant is still valid
 * @param sentMillis time of the node's clock at which the report was made
 */
public record TenantUse(
    String tenant,
    double demand,
    double largest,
    double deficit,
    long number,
    double rate,
    double burst,
    long loan,
    long validMillis,
    long sentMillis) {

  /** Returns whether all fields are in their ranges, as decoding does not check them. */
  public boolean isUsable() {
    return tenant != null
        && Double.isFinite(demand)
        && demand >= 0
        && Double.isFinite(largest)
        && largest >= 0
        && Double.isFinite(deficit)
        && deficit >= 0
        && number >= 0
        && rate >= 0
        && rate <= 1
        && burst >= 0
        && burst <= 1
        && loan >= 0
        && validMillis >= 0
        && validMillis <= AllowanceLedger.OWNER_VALIDITY.toMillis();
  }
}
