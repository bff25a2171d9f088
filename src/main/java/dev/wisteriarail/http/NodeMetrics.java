package dev.wisteriarail.http;

import dev.wisteriarail.core.request.RequestOutcome;
import dev.wisteriarail.core.result.ResultCode;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;

/** The metrics of a node, kept with Micrometer in the Prometheus format. Thread-safe. */
public final class NodeMetrics {

  private static final String REQUESTS = "wisteriarail.requests";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  private NodeMetrics() {}

  /** Returns the metrics of a node that has served no request yet. */
  public static NodeMetrics create() {
    NodeMetrics metrics = new NodeMetrics();
    new JvmMemoryMetrics().bindTo(metrics.registry);
    new ProcessorMetrics().bindTo(metrics.registry);
    return metrics;
  }

  /** Records the outcome and the duration of a request. */
  public void recordOutcome(RequestOutcome outcome, Duration duration) {
    ResultCode code =
        switch (outcome) {
          case RequestOutcome.Completed completed -> ResultCode.OK;
          case RequestOutcome.Refused refused -> refused.refusal().code();
        };
    Timer.builder(REQUESTS).tag("code", code.name()).register(registry).record(duration);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String scrape() {
    return registry.scrape();
  }

  /** Returns the registry, so that other adapters can register gauges. */
  public MeterRegistry registry() {
    return registry;
  }
}
