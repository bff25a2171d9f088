package dev.wisteriarail.platform;

import com.fasterxml.jackson.databind.JsonNode;
import dev.wisteriarail.core.tenant.Allowance;
import dev.wisteriarail.core.tenant.ApiKeyDigest;
import dev.wisteriarail.core.tenant.TenantChecks;
import dev.wisteriarail.core.tenant.TenantFault;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decodes the tenants of the platform's configuration. Unlike other values of the operators, wrong
 * ones and nulls are not replaced by defaults, as a default could admit callers that were to be
 * limited. Stateless.
 */
final class TenantDocuments {

  private static final String TOKEN_UNIT = "token_streaming";

  private TenantDocuments() {}

  /** Decodes the list of tenants, which may have none; empty if the field is missing. */
  static Optional<List<TenantSpec>> tenants(JsonNode list) throws InvalidTenantException {
    if (list.isMissingNode()) {
      return Optional.empty();
    }
    if (!list.isArray()) {
      throw fault("", "'tenants' is not a list");
    }
    List<TenantSpec> tenants = new ArrayList<>();
    for (JsonNode tenant : list) {
      tenants.add(tenant(tenant));
    }
    List<TenantFault> faults = TenantChecks.faults(tenants);
    if (!faults.isEmpty()) {
      throw new InvalidTenantException(faults.getFirst());
    }
    return Optional.of(tenants);
  }

  private static TenantSpec tenant(JsonNode tenant) throws InvalidTenantException {
    JsonNode name = tenant.path("name");
    if (!name.isTextual()) {
      throw fault("", "a tenant has no name");
    }
    return new TenantSpec(
        name.textValue(),
        keys(name.textValue(), tenant.path("api_keys")),
        priority(name.textValue(), tenant.path("priority")),
        allowance(name.textValue(), tenant));
  }

  private static int priority(String name, JsonNode priority) throws InvalidTenantException {
    if (priority.isMissingNode()) {
      return TenantSpec.ROUTE_RANK;
    }
    if (!priority.isNumber()) {
      throw fault(name, "'priority' is not a number");
    }
    return WireValues.limitedInt(priority, 0, Integer.MAX_VALUE);
  }

  private static List<ApiKeyDigest> keys(String name, JsonNode list) throws InvalidTenantException {
    if (!list.isMissingNode() && !list.isArray()) {
      throw fault(name, "'api_keys' is not a list");
    }
    List<ApiKeyDigest> keys = new ArrayList<>();
    for (JsonNode key : list) {
      if (!key.isTextual() || key.textValue().isBlank()) {
        throw fault(name, "a key is no text or empty");
      }
      keys.add(ApiKeyDigest.of(key.textValue()));
    }
    return keys.stream().distinct().toList();
  }

  private static Allowance allowance(String name, JsonNode tenant) throws InvalidTenantException {
    return new Allowance(
        unit(name, tenant.path("unit")),
        amount(name, tenant, "rate_per_s"),
        amount(name, tenant, "burst"),
        (int) Math.clamp(Math.floor(amount(name, tenant, "plain_tokens")), -1, Integer.MAX_VALUE));
  }

  private static Allowance.Unit unit(String name, JsonNode unit) throws InvalidTenantException {
    if (unit.isMissingNode()) {
      return Allowance.Unit.REQUESTS;
    }
    if (!unit.isTextual() || !unit.textValue().equals(TOKEN_UNIT)) {
      throw fault(name, "the unit is unknown");
    }
    return Allowance.Unit.TOKENS;
  }

  private static double amount(String name, JsonNode tenant, String field)
      throws InvalidTenantException {
    JsonNode value = tenant.path(field);
    if (!value.isMissingNode() && !value.isNumber()) {
      throw fault(name, "'" + field + "' is not a number");
    }
    return value.asDouble();
  }

  private static InvalidTenantException fault(String tenant, String reason) {
    return new InvalidTenantException(new TenantFault(tenant, reason));
  }
}
