package dev.wisteriarail.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.tenant.TenantCount;
import dev.wisteriarail.peer.PeerTrafficListener;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToDoubleFunction;

/**
 * Prometheus metrics: counters of log events and of messages to peers, and histograms of request
 * durations by outcome.
 *
 * <p>Label values are event names, message kinds, result codes, HTTP statuses and names of
 * configured tenants, so the number of time series is bounded. Thread-safe.
 */
final class GatewayMetrics implements PeerTrafficListener {

  private static final String EVENTS = "wisteriarail.events";
  private static final String REQUESTS = "wisteriarail.forward";
  private static final String PEER_MESSAGES = "wisteriarail.peer.messages";
  private static final String TENANT_ADMITTED = "wisteriarail.tenant.admitted";
  private static final String TENANT_REFUSED = "wisteriarail.tenant.refused";
  private static final String TENANT_SHARE = "wisteriarail.tenant.share";
  private static final String PEER_BYTES = "wisteriarail.peer.sent";

  /** For each event that ends a request, the log field with the request's duration on this node. */
  private static final Map<EventCode, String> DURATIONS =
      new EnumMap<>(
          Map.of(
              EventCode.FORWARD_ANSWERED, "took_ms",
              EventCode.FORWARD_REFUSED, "held_ms",
              EventCode.FORWARD_CUT, "took_ms",
              EventCode.FORWARD_LEFT, "after_ms"));

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<EventCode, Counter> counters = new ConcurrentHashMap<>();
  private final Map<String, Timer> timers = new ConcurrentHashMap<>();
  private final Map<String, Counter> peerCounters = new ConcurrentHashMap<>();
  private final Map<String, TenantCount> tenants = new ConcurrentHashMap<>();

  private GatewayMetrics() {}

  /** Returns metrics that all start at zero. */
  static GatewayMetrics create() {
    return new GatewayMetrics();
  }

  /** Counts an event, even if the log's rate limit omits its line. */
  void count(NodeEvent event) {
    counters
        .computeIfAbsent(
            event.code(),
            code -> Counter.builder(EVENTS).tag("event", code.name()).register(registry))
        .increment();
    Optional.ofNullable(DURATIONS.get(event.code()))
        .map(event.fields()::get)
        .ifPresent(millis -> recordDuration(event, Long.parseLong(millis)));
  }

  private void recordDuration(NodeEvent event, long millis) {
    String detail =
        event.fields().getOrDefault("code", event.fields().getOrDefault("status", "none"));
    timers
        .computeIfAbsent(
            event.code().name() + detail,
            key ->
                Timer.builder(REQUESTS)
                    .tag("end", event.code().name())
                    .tag("detail", detail)
                    .publishPercentileHistogram()
                    .minimumExpectedValue(Duration.ofMillis(5))
                    .maximumExpectedValue(Duration.ofSeconds(30))
                    .register(registry))
        .record(Duration.ofMillis(millis));
  }

  @Override
  public void sent(String kind, int bytes) {
    countMessage(kind, "sent");
    peerCounters
        .computeIfAbsent(
            kind,
            name ->
                Counter.builder(PEER_BYTES).baseUnit("bytes").tag("kind", name).register(registry))
        .increment(bytes);
  }

  @Override
  public void skipped(String kind) {
    countMessage(kind, "left_out");
  }

  private void countMessage(String kind, String outcome) {
    peerCounters
        .computeIfAbsent(
            kind + " " + outcome,
            name ->
                Counter.builder(PEER_MESSAGES)
                    .tag("kind", kind)
                    .tag("outcome", outcome)
                    .register(registry))
        .increment();
  }

  /** Publishes what was admitted and refused for each limited tenant. */
  void updateTenants(List<TenantCount> counts) {
    for (TenantCount count : counts) {
      if (tenants.put(count.tenant(), count) == null) {
        register(TENANT_ADMITTED, count.tenant(), TenantCount::admitted);
        register(TENANT_REFUSED, count.tenant(), TenantCount::refused);
        register(TENANT_SHARE, count.tenant(), TenantCount::share);
      }
    }
  }

  private void register(String name, String tenant, ToDoubleFunction<TenantCount> value) {
    Gauge.builder(name, tenants, all -> value.applyAsDouble(all.get(tenant)))
        .tag("tenant", tenant)
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  String scrape() {
    return registry.scrape();
  }
}
