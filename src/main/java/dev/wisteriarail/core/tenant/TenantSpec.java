package dev.wisteriarail.core.tenant;

import java.util.List;

/**
 * Configuration of a tenant.
 *
 * @param name the tenant's name, which runners receive
 * @param keys digests of its API keys
 * @param priority urgency of its requests, in place of the route's rank; 0 is the most urgent, and
 *     {@link #ROUTE_RANK} leaves it to the route
 * @param allowance how much it may use over all nodes together
 */
public record TenantSpec(String name, List<ApiKeyDigest> keys, int priority, Allowance allowance) {

  /** Priority of a tenant whose requests have the rank of their route. */
  public static final int ROUTE_RANK = -1;

  /** Copies the list. */
  public TenantSpec {
    keys = List.copyOf(keys);
  }

  /**
   * Returns the urgency of the tenant's requests on a route.
   *
   * @param routeRank rank of the route
   */
  public int rank(int routeRank) {
    return priority == ROUTE_RANK ? routeRank : priority;
  }
}
