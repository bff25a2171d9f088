package dev.wisteriarail.core.tenant;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the tenant that holds an API key.
 *
 * <p>Built once for each configuration, as every request looks up a key. Immutable.
 */
public final class TenantIndex {

  private final Map<ApiKeyDigest, TenantSpec> holders;

  private TenantIndex(Map<ApiKeyDigest, TenantSpec> holders) {
    this.holders = holders;
  }

  /** Returns the index of tenants of which no two hold the same key. */
  public static TenantIndex of(List<TenantSpec> tenants) {
    Map<ApiKeyDigest, TenantSpec> holders = new HashMap<>();
    for (TenantSpec tenant : tenants) {
      tenant.keys().forEach(key -> holders.put(key, tenant));
    }
    return new TenantIndex(Map.copyOf(holders));
  }

  /** Returns the tenant that holds a key. */
  public Optional<TenantSpec> find(ApiKeyDigest key) {
    return Optional.ofNullable(holders.get(key));
  }
}
