package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.tenant.TenantIndex;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Decides who a caller is, by the API key of its request.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class CallerAuthenticator {

  private final ConfigurationConfirmation confirmation;
  private List<TenantSpec> indexedTenants = List.of();
  private TenantIndex index = TenantIndex.of(List.of());

  private CallerAuthenticator(ConfigurationConfirmation confirmation) {
    this.confirmation = confirmation;
  }

  static CallerAuthenticator create(ConfigurationConfirmation confirmation) {
    return new CallerAuthenticator(confirmation);
  }

  /** Who a caller is. */
  sealed interface Decision {

    /** The request is accepted without a key. */
    record Anonymous() implements Decision {}

    /**
     * The request is that of a tenant.
     *
     * @param tenant the tenant
     */
    record Known(TenantSpec tenant) implements Decision {}

    /**
     * The request is refused.
     *
     * @param code the result code
     * @param reason why, without the key
     */
    record Refused(ResultCode code, String reason) implements Decision {}

    /** Returns the tenant; empty without one. */
    default Optional<TenantSpec> tenantIfKnown() {
      return this instanceof Known known ? Optional.of(known.tenant()) : Optional.empty();
    }
  }

  /**
   * Decides who sent a request.
   *
   * @param route the route of the request in the configuration
   * @param configuration the configuration in force
   */
  Decision decide(
      ForwardRequest request, RouteSpec route, GatewayConfiguration configuration, Instant now) {
    if (!configuration.requiresKeys() || route.isPublic()) {
      return new Decision.Anonymous();
    }
    if (confirmation.isExpired(now)) {
      return new Decision.Refused(
          ResultCode.CONFIGURATION_UNCONFIRMED, "the configuration has not been confirmed");
    }
    if (request.apiKey().isEmpty()) {
      return new Decision.Refused(ResultCode.API_KEY_INVALID, "there is no usable key");
    }
    return indexOf(configuration)
        .find(request.apiKey().get())
        .<Decision>map(Decision.Known::new)
        .orElseGet(
            () -> new Decision.Refused(ResultCode.API_KEY_INVALID, "no tenant holds the key"));
  }

  /** Returns the time since the configuration was confirmed; empty if it never was. */
  Optional<Duration> age(Instant now) {
    return confirmation.age(now);
  }

  /** Returns the index of a configuration; it is built again only for another configuration. */
  @SuppressWarnings("ReferenceEquality")
  private TenantIndex indexOf(GatewayConfiguration configuration) {
    if (indexedTenants != configuration.tenants()) {
      indexedTenants = configuration.tenants();
      index = TenantIndex.of(indexedTenants);
    }
    return index;
  }
}
