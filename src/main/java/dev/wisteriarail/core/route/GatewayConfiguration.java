package dev.wisteriarail.core.route;

import dev.wisteriarail.core.tenant.TenantSpec;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The configuration of routes and services by the operators; replaced as a whole.
 *
 * @param version the version number, which increases with every change
 * @param routes the routes
 * @param services the services by name
 * @param bounds limits on the requests and connections of callers
 * @param tenants the tenants; empty if callers are not told apart, or if none may call
 * @param access whether callers need an API key
 */
public record GatewayConfiguration(
    long version,
    List<RouteSpec> routes,
    Map<String, ServicePool> services,
    CallerBounds bounds,
    List<TenantSpec> tenants,
    CallerAccess access) {

  /** Whether callers need an API key. The names of the constants are part of peer messages. */
  public enum CallerAccess {
    /** The configuration names no tenants: callers are not told apart. */
    WITHOUT_KEY,
    /** The configuration names tenants, even an empty list of them. */
    WITH_KEY,
    /** An earlier version sent the configuration without saying whether it names tenants. */
    UNSTATED
  }

  /** Copies the collections; messages of earlier versions lack the tenants and the access. */
  public GatewayConfiguration {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
    tenants = tenants == null ? List.of() : List.copyOf(tenants);
    if (!tenants.isEmpty()) {
      access = CallerAccess.WITH_KEY;
    } else if (access == null) {
      access = CallerAccess.UNSTATED;
    }
  }

  /** Returns a configuration whose callers need a key of one of the tenants. */
  public static GatewayConfiguration withTenants(
      long version,
      List<RouteSpec> routes,
      Map<String, ServicePool> services,
      CallerBounds bounds,
      List<TenantSpec> tenants) {
    return new GatewayConfiguration(
        version, routes, services, bounds, tenants, CallerAccess.WITH_KEY);
  }

  /** Returns a configuration without tenants. */
  public static GatewayConfiguration withoutTenants(
      long version,
      List<RouteSpec> routes,
      Map<String, ServicePool> services,
      CallerBounds bounds) {
    return new GatewayConfiguration(
        version, routes, services, bounds, List.of(), CallerAccess.WITHOUT_KEY);
  }

  /** Returns whether requests need an API key, except on public routes. */
  public boolean requiresKeys() {
    return access != CallerAccess.WITHOUT_KEY;
  }

  /** Returns the engine configuration of a service; empty for an unknown or plain service. */
  public Optional<EngineSpec> engineOf(String service) {
    return Optional.ofNullable(services.get(service)).flatMap(ServicePool::engine);
  }

  /** Returns the route of a host with the longest prefix that matches the path. */
  public Optional<RouteSpec> route(String host, String path) {
    RouteSpec best = null;
    for (RouteSpec route : routes) {
      if (route.host().equalsIgnoreCase(host)
          && path.startsWith(route.pathPrefix())
          && (best == null || route.pathPrefix().length() > best.pathPrefix().length())) {
        best = route;
      }
    }
    return Optional.ofNullable(best);
  }
}
