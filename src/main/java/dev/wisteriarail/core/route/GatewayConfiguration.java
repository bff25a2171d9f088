package dev.wisteriarail.core.route;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The operators' configuration of routes and services; replaced as a whole.
 *
 * @param version its version; later ones are higher
 * @param routes the routes
 * @param services the services by name
 * @param bounds what callers may send
 */
public record GatewayConfiguration(
    long version, List<RouteSpec> routes, Map<String, ServicePool> services, CallerBounds bounds) {

  /** Copies the collections. */
  public GatewayConfiguration {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
  }

  /** Returns the engines of a service; empty for an unknown or plain service. */
  public Optional<EngineSpec> engineOf(String service) {
    return Optional.ofNullable(services.get(service)).flatMap(ServicePool::engine);
  }

  /** Returns the route with the longest prefix of the path among those of the host. */
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
