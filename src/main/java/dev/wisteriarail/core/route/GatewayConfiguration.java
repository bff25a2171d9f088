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
 * @param tenants the tenants; empty if callers are not told apart
 */
public record GatewayConfiguration(
    long version,
    List<RouteSpec> routes,
    Map<String, ServicePool> services,
    CallerBounds bounds,
    List<TenantSpec> tenants) {

  /** Copies the collections; messages of earlier versions lack the tenants. */
  public GatewayConfiguration {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
    tenants = tenants == null ? List.of() : List.copyOf(tenants);
  }

  /** Returns a configuration without tenants. */
  public static GatewayConfiguration withoutTenants(
      long version,
      List<RouteSpec> routes,
      Map<String, ServicePool> services,
      CallerBounds bounds) {
    return new GatewayConfiguration(version, routes, services, bounds, List.of());
  }

  /** Returns whether requests need an API key, except on public routes. */
  public boolean hasTenants() {
    return !tenants.isEmpty();
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
