package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.forward.RetryLimits;
import dev.wisteriarail.core.route.CallerBounds;
import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.HostedModel;
import dev.wisteriarail.core.route.RouteKind;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.route.ServicePool;
import dev.wisteriarail.core.route.ServiceShare;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The deployment that gateway fuzzing simulates: routes, services and sizes. Stateless. */
final class GatewayFuzzDeployment {

  static final String HOST = "host";
  static final String ENGINE_SERVICE = "engines";
  static final String PLAIN_SERVICE = "plain";
  static final int NODE_COUNT = 4;
  static final int ENGINE_COUNT = 4;
  static final int PLAIN_COUNT = 3;

  /** Models that callers request throughout a run. */
  static final int MODEL_COUNT = 7;

  /** Further models, which only bursts request. */
  static final int COLD_MODEL_COUNT = 5;

  /** Time from a stop request until the process of a node is ended. */
  static final Duration GRACE = Duration.ofSeconds(8);

  static final int SLOTS = 6;
  static final int ADAPTER_SLOTS = 2;

  /** Models that fit into the memory of an engine. */
  static final int MAX_LOADED_MODELS = 2;

  /** Rate of a VM's link; one VM has the slow rate. */
  static final long FAST_LINK_BYTES_PER_MILLI = 1_000;

  static final long SLOW_LINK_BYTES_PER_MILLI = 60;

  static final RetryLimits RETRIES = new RetryLimits(Duration.ofSeconds(10), 0.2, 5);

  private static final double MODEL_MEGABYTES = 60;
  private static final double ENGINE_MEGABYTES = 130;

  private GatewayFuzzDeployment() {}

  /** Returns the configuration of a version; each version after the first adds a route. */
  static GatewayConfiguration configuration(long version) {
    List<RouteSpec> routes = new ArrayList<>();
    routes.add(route("chat", RouteKind.STREAMING, ENGINE_SERVICE, true, 2));
    routes.add(route("report", RouteKind.STREAMING, ENGINE_SERVICE, false, 1));
    routes.add(route("survey", RouteKind.STREAMING, ENGINE_SERVICE, false, 1));
    routes.add(route("lookup", RouteKind.IDEMPOTENT, PLAIN_SERVICE, false, 2));
    routes.add(route("order", RouteKind.NON_IDEMPOTENT, PLAIN_SERVICE, false, 1));
    for (long added = 2; added <= version; added++) {
      routes.add(route("added-" + added, RouteKind.IDEMPOTENT, PLAIN_SERVICE, false, 2));
    }
    List<HostedModel> models = new ArrayList<>();
    for (int i = 0; i < MODEL_COUNT + COLD_MODEL_COUNT; i++) {
      models.add(
          new HostedModel(
              "m" + i,
              MODEL_MEGABYTES,
              Duration.ofMillis(900),
              Duration.ofMillis(900),
              Duration.ofMillis(900),
              2,
              1));
    }
    EngineSpec engine = new EngineSpec(SLOTS, 100_000, ENGINE_MEGABYTES, ADAPTER_SLOTS, 5, models);
    return GatewayConfiguration.withoutTenants(
        version,
        routes,
        Map.of(
            ENGINE_SERVICE, new ServicePool(ENGINE_SERVICE, 100, Optional.of(engine)),
            PLAIN_SERVICE, new ServicePool(PLAIN_SERVICE, 100, Optional.empty())),
        CallerBounds.DEFAULT);
  }

  /** Returns whether a later version added the route, so that nodes may not know it yet. */
  static boolean isAdded(RouteSpec route) {
    return route.name().startsWith("added-");
  }

  private static RouteSpec route(
      String name, RouteKind kind, String service, boolean resumable, int runners) {
    return new RouteSpec(
        name,
        HOST,
        "/" + name + "/",
        kind,
        timeout(name, kind),
        Duration.ofMillis(name.equals("survey") ? 2_500 : 400),
        1,
        List.of(new ServiceShare(service, 1)),
        runners,
        false,
        resumable,
        Duration.ofMillis(250),
        false);
  }

  /** Returns the timeout of a route; that of surveys is longer than a drain may take. */
  private static Duration timeout(String name, RouteKind kind) {
    if (name.equals("survey")) {
      return Duration.ofSeconds(20);
    }
    return Duration.ofSeconds(kind == RouteKind.STREAMING ? 8 : 2);
  }
}
