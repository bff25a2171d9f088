package dev.wisteriarail.core.tenant;

import java.util.List;

/**
 * Configuration of a tenant.
 *
 * @param name the tenant's name, which runners receive
 * @param keys digests of its API keys
 * @param priority urgency of its requests, in place of the route's rank; 0 is the most urgent
 * @param allowance how much it may use over all nodes together
 */
public record TenantSpec(String name, List<ApiKeyDigest> keys, int priority, Allowance allowance) {

  /** Copies the list. */
  public TenantSpec {
    keys = List.copyOf(keys);
  }
}
