package dev.wisteriarail.core.route;

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
 */
public record GatewayConfiguration(
    long version, List<RouteSpec> routes, Map<String, ServicePool> services, CallerBounds bounds) {

  /** Copies the collections. */
  public GatewayConfiguration {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
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
