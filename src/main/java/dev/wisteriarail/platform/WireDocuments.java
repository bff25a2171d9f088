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

  private WireDocuments() {}

  // Configuration

  /** Decodes the operators' configuration. */
  static GatewayConfiguration configuration(String json) throws IOException {
    JsonNode root = Codecs.json().readTree(json);
    List<RouteSpec> routes = new ArrayList<>();
    for (JsonNode route : root.path("routes")) {
      routes.add(route(route));
    }
    Map<String, ServicePool> services = new HashMap<>();
    for (JsonNode service : root.path("services")) {
      ServicePool pool = service(service);
      services.put(pool.name(), pool);
    }
    return new GatewayConfiguration(
        root.path("version").asLong(), routes, services, bounds(root.path("limits")));
  }

  private static RouteSpec route(JsonNode route) throws IOException {
    List<ServiceShare> shares = new ArrayList<>();
    for (JsonNode share : route.path("split")) {
      shares.add(new ServiceShare(share.path("service").asText(), share.path("weight").asInt()));
    }
    if (shares.isEmpty()) {
      shares.add(new ServiceShare(route.path("service").asText(), 1));
    }
    return new RouteSpec(
        route.path("name").asText(),
        route.path("host").asText(),
        route.path("path_prefix").asText(),
        kind(route.path("kind").asText()),
        millis(route.path("timeout_ms")),
        millis(route.path("target_latency_ms")),
        route.path("priority").asInt(),
        shares,
        Math.max(1, route.path("max_attempts").asInt(1)),
        route.path("sticky").asBoolean(),
        route.path("resumable").asBoolean(),
        millis(route.path("gap_target_ms")));
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
        service.path("max_connections").asInt(),
        engine.isObject() ? Optional.of(engine(engine)) : Optional.empty());
  }

  private static EngineSpec engine(JsonNode engine) {
    List<HostedModel> models = new ArrayList<>();
    for (JsonNode model : engine.path("models")) {
      Duration fromStore = seconds(model.path("load_s"));
      models.add(
          new HostedModel(
              model.path("name").asText(),
              model.path("weights_mb").asDouble(),
              fromStore,
              model.has("disk_load_s") ? seconds(model.path("disk_load_s")) : fromStore,
              model.has("warm_s") ? seconds(model.path("warm_s")) : fromStore,
              model.path("adapters").asInt(),
              model.path("adapter_mb").asDouble()));
    }
    return new EngineSpec(
        engine.path("slots").asInt(),
        engine.path("kv_cache_tokens").asLong(),
        engine.path("weights_mb").asDouble(),
        engine.path("adapter_slots").asInt(),
        engine.path("loads_per_s").asDouble(),
        models);
  }

  private static CallerBounds bounds(JsonNode limits) {
    CallerBounds defaults = CallerBounds.DEFAULT;
    return new CallerBounds(
        limits.path("max_header_bytes").asInt(defaults.maxHeaderBytes()),
        limits.path("max_body_bytes").asLong(defaults.maxBodyBytes()),
        Duration.ofMillis(
            limits.path("header_timeout_ms").asLong(defaults.headerTimeout().toMillis())),
        Duration.ofMillis(
            limits.path("idle_timeout_ms").asLong(defaults.idleTimeout().toMillis())));
  }

  private static Duration millis(JsonNode value) {
    return Duration.ofMillis(value.asLong());
  }

  private static Duration seconds(JsonNode value) {
    return Duration.ofMillis(Math.round(value.asDouble() * 1000));
  }

  // Runners

  /**
   * Decodes a runner's directory entry.
   *
   * @return the entry; empty if it describes no usable runner
   */
  static Optional<RunnerEntry> runner(String id, String json) {
    try {
      JsonNode root = Codecs.json().readTree(json);
      JsonNode state = root.path("state");
      boolean ready = state.isTextual() && state.asText().equals("ready");
      boolean draining = state.isTextual() && state.asText().equals("draining");
      String address = root.path("address").isTextual() ? root.path("address").asText() : "";
      int colon = address.lastIndexOf(':');
      boolean complete =
          (ready || draining)
              && root.path("service").isTextual()
              && root.path("zone").isTextual()
              && root.path("slots").isIntegralNumber()
              && colon > 0;
      if (!complete) {
        return Optional.empty();
      }
      return Optional.of(
          new RunnerEntry(
              id,
              root.path("service").asText(),
              address.substring(0, colon),
              Integer.parseInt(address.substring(colon + 1)),
              root.path("zone").asText(),
              root.path("slots").asInt(),
              draining,
              root.path("born").asLong(),
              root.path("sequence").asLong(),
              models(root.path("models")),
              textValues(root.path("available").path("in_memory")),
              textValues(root.path("available").path("on_disk"))));
    } catch (IOException | NumberFormatException malformed) {
      // Other writers may write arbitrary content to the directory; it is ignored.
      return Optional.empty();
    }
  }

  /** Decodes an engine's report. */
  static RunnerReport report(String runner, String json) throws IOException {
    JsonNode root = Codecs.json().readTree(json);
    return new RunnerReport(
        runner,
        root.path("born").asLong(),
        root.path("sequence").asLong(),
        root.path("busy").asBoolean(),
        models(root.path("models")),
        incoming(root.path("incoming")),
        textValues(root.path("available").path("in_memory")),
        textValues(root.path("available").path("on_disk")),
        root.path("waiting").asInt(),
        root.path("running_count").asInt(),
        root.path("kv_cache_used").asLong());
  }

  private static List<LoadedModel> models(JsonNode list) {
    List<LoadedModel> models = new ArrayList<>();
    for (JsonNode model : list) {
      models.add(
          new LoadedModel(
              model.path("name").asText(), List.copyOf(textValues(model.path("adapters")))));
    }
    return models;
  }

  /** Decodes adapters that are being transferred, each given as {@code MODEL/NAME@VERSION}. */
  private static Set<String> incoming(JsonNode list) {
    Set<String> adapters = new HashSet<>();
    for (String each : textValues(list)) {
      int version = each.lastIndexOf('@');
      adapters.add(version < 0 ? each : each.substring(0, version));
    }
    return adapters;
  }

  private static Set<String> textValues(JsonNode list) {
    Set<String> texts = new HashSet<>();
    list.forEach(text -> texts.add(text.asText()));
    return texts;
  }
}
