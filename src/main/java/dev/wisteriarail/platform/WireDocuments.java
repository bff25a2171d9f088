package dev.wisteriarail.platform;

import com.fasterxml.jackson.databind.JsonNode;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.fleet.LoadedModel;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.route.CallerBounds;
import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.HostedModel;
import dev.wisteriarail.core.route.RouteKind;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.route.ServicePool;
import dev.wisteriarail.core.route.ServiceShare;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Decodes the platform's JSON documents into the core's types. Stateless. */
final class WireDocuments {

  /** Latest start time of a runner that is believed: the end of the year 2099. */
  private static final long MAX_BORN_MILLIS = 4_102_444_800_000L;

  /** Limit of a service's share of a route; sums of shares fit into an {@code int}. */
  private static final int MAX_WEIGHT = 1_000_000;

  private static final int MAX_ATTEMPTS = 1000;

  /** Limit of the number of adapters of a model. */
  private static final int MAX_ADAPTERS = 100_000;

  /** Limit of the size of a request header, which the HTTP parser allocates, in bytes. */
  private static final int MAX_HEADER_BYTES = 1024 * 1024;

  private WireDocuments() {}

  // Configuration

  /** Decodes the operators' configuration. */
  static GatewayConfiguration configuration(String json) throws IOException {
    JsonNode root = Codecs.json().readTree(json);
    List<RouteSpec> routes = new ArrayList<>();
    for (JsonNode route : WireValues.list(root, "routes")) {
      routes.add(route(route));
    }
    Map<String, ServicePool> services = new HashMap<>();
    for (JsonNode service : WireValues.list(root, "services")) {
      ServicePool pool = service(service);
      services.put(pool.name(), pool);
    }
    JsonNode version = root.path("version");
    if (!version.isIntegralNumber() || !version.canConvertToLong()) {
      throw new IOException("the version is not a whole number");
    }
    CallerBounds bounds = bounds(root.path("limits"));
    return TenantDocuments.tenants(root.path("tenants"))
        .map(
            tenants ->
                GatewayConfiguration.withTenants(
                    version.longValue(), routes, services, bounds, tenants))
        .orElseGet(
            () ->
                GatewayConfiguration.withoutTenants(version.longValue(), routes, services, bounds));
  }

  private static RouteSpec route(JsonNode route) throws IOException {
    List<ServiceShare> shares = new ArrayList<>();
    for (JsonNode share : WireValues.list(route, "split")) {
      shares.add(
          new ServiceShare(
              share.path("service").asText(),
              WireValues.limitedInt(share.path("weight"), 0, MAX_WEIGHT)));
    }
    if (shares.isEmpty()) {
      shares.add(new ServiceShare(route.path("service").asText(), 1));
    }
    return new RouteSpec(
        route.path("name").asText(),
        route.path("host").asText(),
        route.path("path_prefix").asText(),
        kind(route.path("kind").asText()),
        WireValues.millis(route.path("timeout_ms")),
        WireValues.millis(route.path("target_latency_ms")),
        WireValues.limitedInt(route.path("priority"), 0, Integer.MAX_VALUE),
        shares,
        WireValues.limitedInt(route.path("max_attempts"), 1, MAX_ATTEMPTS),
        WireValues.flag(route, "sticky"),
        WireValues.flag(route, "resumable"),
        WireValues.millis(route.path("gap_target_ms")),
        WireValues.flag(route, "public"));
  }

  private static RouteKind kind(String name) throws IOException {
    return switch (name) {
      case "idempotent" -> RouteKind.IDEMPOTENT;
      case "non_idempotent" -> RouteKind.NON_IDEMPOTENT;
      case "streaming" -> RouteKind.STREAMING;
      default -> throw new IOException("unknown route kind: " + name);
    };
  }

  private static ServicePool service(JsonNode service) {
    JsonNode engine = service.path("engine");
    return new ServicePool(
        service.path("name").asText(),
        WireValues.limitedInt(service.path("max_connections"), 0, Integer.MAX_VALUE),
        engine.isObject() ? Optional.of(engine(engine)) : Optional.empty());
  }

  private static EngineSpec engine(JsonNode engine) {
    List<HostedModel> models = new ArrayList<>();
    for (JsonNode model : engine.path("models")) {
      Duration fromStore = WireValues.seconds(model.path("load_s"));
      models.add(
          new HostedModel(
              model.path("name").asText(),
              WireValues.amount(model.path("weights_mb")),
              fromStore,
              model.has("disk_load_s") ? WireValues.seconds(model.path("disk_load_s")) : fromStore,
              model.has("warm_s") ? WireValues.seconds(model.path("warm_s")) : fromStore,
              WireValues.limitedInt(model.path("adapters"), 0, MAX_ADAPTERS),
              WireValues.amount(model.path("adapter_mb"))));
    }
    return new EngineSpec(
        WireValues.limitedInt(engine.path("slots"), 1, Integer.MAX_VALUE),
        WireValues.limited(engine.path("kv_cache_tokens"), 0, 0, Long.MAX_VALUE),
        WireValues.amount(engine.path("weights_mb")),
        WireValues.limitedInt(engine.path("adapter_slots"), 0, Integer.MAX_VALUE),
        WireValues.amount(engine.path("loads_per_s")),
        models);
  }

  private static CallerBounds bounds(JsonNode limits) {
    CallerBounds defaults = CallerBounds.DEFAULT;
    return new CallerBounds(
        (int)
            WireValues.positiveOr(
                limits.path("max_header_bytes"), defaults.maxHeaderBytes(), MAX_HEADER_BYTES),
        WireValues.positiveOr(
            limits.path("max_body_bytes"), defaults.maxBodyBytes(), Integer.MAX_VALUE),
        WireValues.millisOr(limits.path("header_timeout_ms"), defaults.headerTimeout()),
        WireValues.millisOr(limits.path("idle_timeout_ms"), defaults.idleTimeout()));
  }

  // Runners

  /**
   * Decodes a runner's directory entry. Other writers may write arbitrary content to the directory.
   *
   * @throws IOException if it describes no usable runner
   */
  static RunnerEntry runner(String id, String json) throws IOException {
    JsonNode root = object(json);
    JsonNode state = root.path("state");
    boolean draining = state.isTextual() && state.textValue().equals("draining");
    if (!draining && !(state.isTextual() && state.textValue().equals("ready"))) {
      throw new IOException("the state is unknown");
    }
    if (!root.hasNonNull("slots")) {
      throw new IOException("'slots' is missing");
    }
    String address = WireValues.name(root, "address");
    JsonNode available = root.path("available");
    return new RunnerEntry(
        WireValues.identifier(id),
        WireValues.name(root, "service"),
        WireValues.host(address),
        WireValues.port(address),
        WireValues.name(root, "zone"),
        (int) WireValues.count(root, "slots", Integer.MAX_VALUE),
        draining,
        WireValues.count(root, "born", MAX_BORN_MILLIS),
        WireValues.count(root, "sequence", Long.MAX_VALUE),
        models(root),
        WireValues.namesAmong(available.path("in_memory")),
        WireValues.namesAmong(available.path("on_disk")));
  }

  /** Decodes an engine's report. */
  static RunnerReport report(String runner, String json) throws IOException {
    JsonNode root = object(json);
    JsonNode available = root.path("available");
    return new RunnerReport(
        runner,
        WireValues.count(root, "born", MAX_BORN_MILLIS),
        WireValues.count(root, "sequence", Long.MAX_VALUE),
        WireValues.flag(root, "busy"),
        models(root),
        incoming(root),
        WireValues.namesAmong(available.path("in_memory")),
        WireValues.namesAmong(available.path("on_disk")),
        (int) WireValues.count(root, "waiting", Integer.MAX_VALUE),
        (int) WireValues.count(root, "running_count", Integer.MAX_VALUE),
        WireValues.count(root, "kv_cache_used", Long.MAX_VALUE));
  }

  private static JsonNode object(String json) throws IOException {
    JsonNode root = Codecs.json().readTree(json);
    if (!root.isObject()) {
      throw new IOException("the document is not an object");
    }
    return root;
  }

  private static List<LoadedModel> models(JsonNode root) throws IOException {
    List<LoadedModel> models = new ArrayList<>();
    for (JsonNode model : WireValues.elements(root, "models")) {
      models.add(
          new LoadedModel(
              WireValues.name(model, "name"), List.copyOf(WireValues.names(model, "adapters"))));
    }
    return models;
  }

  /** Decodes adapters that are being transferred, each given as {@code MODEL/NAME@VERSION}. */
  private static Set<String> incoming(JsonNode root) throws IOException {
    Set<String> adapters = new HashSet<>();
    for (String each : WireValues.names(root, "incoming")) {
      int version = each.lastIndexOf('@');
      adapters.add(version < 0 ? each : each.substring(0, version));
    }
    return adapters;
  }
}
