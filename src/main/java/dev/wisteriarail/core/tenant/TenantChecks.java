package dev.wisteriarail.core.tenant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Checks the tenants of a configuration. A configuration with a fault must not come into force:
 * with a key that two tenants hold, for example, it is unclear whose allowance a request uses.
 * Stateless.
 */
public final class TenantChecks {

  /**
   * Visible ASCII characters and single spaces between them, so that a header can hold the name.
   */
  private static final Pattern NAME = Pattern.compile("[\\x21-\\x7e]+( [\\x21-\\x7e]+)*");

  /** Maximum length of a name, which is sent with every request. */
  private static final int MAX_NAME_LENGTH = 255;

  private TenantChecks() {}

  /** Returns all faults; empty if the tenants are valid. */
  public static List<TenantFault> faults(List<TenantSpec> tenants) {
    List<TenantFault> faults = new ArrayList<>();
    Set<String> names = new HashSet<>();
    Map<ApiKeyDigest, String> holders = new HashMap<>();
    for (TenantSpec tenant : tenants) {
      String name = tenant.name();
      if (name == null || name.isEmpty()) {
        faults.add(new TenantFault("", "a tenant has no name"));
      } else if (name.length() > MAX_NAME_LENGTH || !NAME.matcher(name).matches()) {
        faults.add(new TenantFault("", "the name of a tenant cannot be sent in a header"));
      } else if (!names.add(name)) {
        faults.add(new TenantFault(name, "two tenants have this name"));
      }
      checkAllowance(tenant, faults);
      for (ApiKeyDigest key : tenant.keys()) {
        String holder = holders.putIfAbsent(key, name);
        if (holder != null && !holder.equals(name)) {
          faults.add(new TenantFault(name, "a key is also held by tenant " + holder));
        }
      }
    }
    return faults;
  }

  private static void checkAllowance(TenantSpec tenant, List<TenantFault> faults) {
    Allowance allowance = tenant.allowance();
    if (allowance == null || allowance.unit() == null) {
      faults.add(new TenantFault(tenant.name(), "the allowance has no unit"));
      return;
    }
    if (!isAmount(allowance.ratePerSecond())) {
      faults.add(new TenantFault(tenant.name(), "the rate is negative or not finite"));
    }
    if (!isAmount(allowance.burst())) {
      faults.add(new TenantFault(tenant.name(), "the burst is negative or not finite"));
    }
    if (allowance.plainTokens() < 0) {
      faults.add(new TenantFault(tenant.name(), "the cost of a plain request is negative"));
    }
  }

  private static boolean isAmount(double value) {
    return value >= 0 && Double.isFinite(value);
  }
}
