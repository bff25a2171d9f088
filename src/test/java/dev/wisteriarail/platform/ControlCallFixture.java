package dev.wisteriarail.platform;

import dev.wisteriarail.core.fleet.FleetOrder;
import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.NumberedOrder;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.gateway.GatewayHttp;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An HTTP client for control calls with its threads, and orders and report requests to a runner.
 */
final class ControlCallFixture implements AutoCloseable {

  private static final long IDLE_MILLIS = 5_000;
  private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);

  private final QueuedThreadPool threads = new QueuedThreadPool();
  private final Scheduler scheduler = new ScheduledExecutorScheduler();
  private final HttpClient http;

  private ControlCallFixture() throws Exception {
    threads.start();
    scheduler.start();
    http = GatewayHttp.startForControlCalls(threads, scheduler, IDLE_MILLIS);
  }

  static ControlCallFixture start() throws Exception {
    return new ControlCallFixture();
  }

  /** Returns a client of a store on loopback. */
  HttpPlatformClient client(int storePort) {
    return HttpPlatformClient.create(http, "127.0.0.1:" + storePort);
  }

  static RunnerEntry runner(String host, int port) {
    return new RunnerEntry(
        "r", "s", host, port, "a", 1, false, 1, 0, List.of(), Set.of(), Set.of());
  }

  static CompletableFuture<FleetOrderOutcome> sendOrder(
      HttpPlatformClient client, RunnerEntry runner) {
    CompletableFuture<FleetOrderOutcome> result = new CompletableFuture<>();
    client.sendOrder(
        new GatewayEffect.SendOrder(
            runner,
            new NumberedOrder(1, "r", 1, 0, new FleetOrder.UnloadModel("m"), "", null),
            "n",
            1,
            ORDER_TIMEOUT),
        notification -> {},
        (outcome, text) -> result.complete(outcome));
    return result;
  }

  static CompletableFuture<Optional<RunnerReport>> requestReport(
      HttpPlatformClient client, RunnerEntry runner) {
    CompletableFuture<Optional<RunnerReport>> result = new CompletableFuture<>();
    client.requestReport(runner, notification -> {}, result::complete);
    return result;
  }

  @Override
  public void close() throws Exception {
    http.stop();
    scheduler.stop();
    threads.stop();
  }
}
