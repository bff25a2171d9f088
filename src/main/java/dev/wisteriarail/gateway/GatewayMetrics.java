package dev.wisteriarail.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.HeldBytes;
import dev.wisteriarail.core.tenant.TenantCount;
import dev.wisteriarail.peer.PeerTrafficListener;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;

/**
 * Prometheus metrics: counters of log events, of choices of runners and of messages to peers,
 * histograms of request durations by outcome, and the account of held bytes.
 *
 * <p>Label values are event names, message kinds, result codes, HTTP statuses, and the ranks and
 * names of tenants in the configuration, so the number of time series is bounded. Thread-safe.
 */
final class GatewayMetrics implements PeerTrafficListener {

  private static final String EVENTS = "wisteriarail.events";
  private static final String REQUESTS = "wisteriarail.forward";
  private static final String QUEUE_LENGTH = "wisteriarail.queue.length";
  private static final String QUEUE_WAIT = "wisteriarail.queue.wait";
  private static final String TENANT_QUEUE_LENGTH = "wisteriarail.queue.tenant.length";
  private static final String TENANT_QUEUE_WAIT = "wisteriarail.queue.tenant.wait";
  private static final String PEER_MESSAGES = "wisteriarail.peer.messages";
  private static final String CHOICES = "wisteriarail.choices";
  private static final String TENANT_ADMITTED = "wisteriarail.tenant.admitted";
  private static final String TENANT_REFUSED = "wisteriarail.tenant.refused";
  private static final String TENANT_SHARE = "wisteriarail.tenant.share";
  private static final String PEER_BYTES = "wisteriarail.peer.sent";
  private static final String HELD = "wisteriarail.held";

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
  private final Map<String, Counter> choiceCounters = new ConcurrentHashMap<>();
  private final Map<String, Counter> peerCounters = new ConcurrentHashMap<>();
  private final Map<String, TenantCount> tenants = new ConcurrentHashMap<>();

  private final Map<String, AtomicInteger> lengths = new ConcurrentHashMap<>();

  private GatewayMetrics() {}

  /** Returns metrics that all start at zero. */
  static GatewayMetrics create() {
    return new GatewayMetrics();
  }

  /** Adds the bytes that the node holds by kind, and what the limit on them caused. */
  void addHeldBytes(HeldBytes heldBytes) {
    for (HeldBytes.Kind kind : HeldBytes.Kind.values()) {
      Gauge.builder(HELD, heldBytes, held -> held.held(kind))
          .baseUnit("bytes")
          .tag("kind", kind.name().toLowerCase(Locale.ROOT))
          .register(registry);
    }
    Gauge.builder(HELD + ".pressure", heldBytes, HeldBytes::pressure).register(registry);
    FunctionCounter.builder(HELD + ".refusals", heldBytes, HeldBytes::refusals).register(registry);
    FunctionCounter.builder(HELD + ".slowed", heldBytes, HeldBytes::slowedStreams)
        .register(registry);
  }

  /** Counts an event, even if the log's rate limit omits its line. */
  void count(NodeEvent event) {
    counters
        .computeIfAbsent(
            event.code(),
            code -> Counter.builder(EVENTS).tag("event", code.name()).register(registry))
        .increment();
    if (event.code() == EventCode.FORWARD_SENT) {
      choiceCounters
          .computeIfAbsent(
              event.fields().getOrDefault("choice", "none"),
              basis -> Counter.builder(CHOICES).tag("basis", basis).register(registry))
          .increment();
    }
    recordWait(event);
    Optional.ofNullable(DURATIONS.get(event.code()))
        .map(event.fields()::get)
        .ifPresent(millis -> recordDuration(event, Long.parseLong(millis)));
  }

  /** Records how long a request waited for its first runner. */
  private void recordWait(NodeEvent event) {
    if (event.code() != EventCode.FORWARD_SENT || !"1".equals(event.fields().get("attempt"))) {
      return;
    }
    Duration waited = Duration.ofMillis(Long.parseLong(event.fields().get("waited_ms")));
    waitTimer(QUEUE_WAIT, "rank", event.fields().getOrDefault("rank", "none")).record(waited);
    String tenant = event.fields().getOrDefault("tenant", "");
    if (!tenant.isEmpty()) {
      waitTimer(TENANT_QUEUE_WAIT, "tenant", tenant).record(waited);
    }
  }

  private Timer waitTimer(String name, String tag, String value) {
    return timers.computeIfAbsent(
        name + " " + value, key -> Timer.builder(name).tag(tag, value).register(registry));
  }

  /** Sets the number of waiting requests; a rank or tenant that is not named has none. */
  void setQueue(GatewayEffect.QueueMeasured measured) {
    lengths.values().forEach(length -> length.set(0));
    measured
        .byRank()
        .forEach((rank, count) -> length(QUEUE_LENGTH, "rank", rank.toString()).set(count));
    measured
        .byTenant()
        .forEach((tenant, count) -> length(TENANT_QUEUE_LENGTH, "tenant", tenant).set(count));
  }

  private AtomicInteger length(String name, String tag, String value) {
    return lengths.computeIfAbsent(
        name + " " + value,
        key -> {
          AtomicInteger length = new AtomicInteger();
          Gauge.builder(name, length, AtomicInteger::get).tag(tag, value).register(registry);
          return length;
        });
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
