package dev.wisteriarail.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counters of every numbered event, and histograms of how long requests took by their end.
 *
 * <p>Labels are names of events and numbered result codes, so their number is bounded. Thread-safe.
 */
final class GatewayMetrics {

  private static final String EVENTS = "wisteriarail.events";
  private static final String REQUESTS = "wisteriarail.forward";

  /** Fields of the log that hold how long a request was on the node. */
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

  private GatewayMetrics() {}

  /** Returns metrics that counted nothing. */
  static GatewayMetrics create() {
    return new GatewayMetrics();
  }

  /** Counts an event, whether or not its line is written. */
  void count(NodeEvent event) {
    counters
        .computeIfAbsent(
            event.code(),
            code -> Counter.builder(EVENTS).tag("event", code.name()).register(registry))
        .increment();
    Optional.ofNullable(DURATIONS.get(event.code()))
        .map(event.fields()::get)
        .ifPresent(millis -> time(event, Long.parseLong(millis)));
  }

  private void time(NodeEvent event, long millis) {
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

  /** Returns all metrics as text. */
  String scrape() {
    return registry.scrape();
  }
}
