package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.FleetOrder;
import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.NumberedOrder;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.gateway.GatewayHttp;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that calls to engines end if nobody answers them or their address cannot be used. */
class UnreachableCallTest {

  private static final long LIMIT_SECONDS = 5;
  private static final long IDLE_MILLIS = 10_000;

  private final QueuedThreadPool threads = new QueuedThreadPool();
  private final Scheduler scheduler = new ScheduledExecutorScheduler();
  private HttpClient http;
  private HttpPlatformClient calls;

  @BeforeEach
  void start() throws Exception {
    threads.start();
    scheduler.start();
    http = GatewayHttp.start(threads, scheduler, IDLE_MILLIS, true);
    calls = HttpPlatformClient.create(http, "127.0.0.1:1");
  }

  @AfterEach
  void stop() throws Exception {
    http.stop();
    scheduler.stop();
    threads.stop();
  }

  private static RunnerEntry engine(String host, int port) {
    return new RunnerEntry(
        "e", "s", host, port, "a", 1, false, 1, 0, List.of(), Set.of(), Set.of());
  }

  private FleetOrderOutcome order(RunnerEntry engine) throws Exception {
    CompletableFuture<FleetOrderOutcome> result = new CompletableFuture<>();
    calls.sendOrder(
        new GatewayEffect.SendOrder(
            engine,
            new NumberedOrder(1, "e", 1, 0, new FleetOrder.UnloadModel("m"), "", null),
            "n",
            1,
            Duration.ofMillis(500)),
        notification -> {},
        (outcome, text) -> result.complete(outcome));
    return result.get(LIMIT_SECONDS, TimeUnit.SECONDS);
  }

  private Optional<RunnerReport> report(RunnerEntry engine) throws Exception {
    CompletableFuture<Optional<RunnerReport>> result = new CompletableFuture<>();
    calls.requestReport(engine, notification -> {}, result::complete);
    return result.get(LIMIT_SECONDS, TimeUnit.SECONDS);
  }

  private static int closedPort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  @Test
  void callsToClosedPortEnd() throws Exception {
    RunnerEntry engine = engine("127.0.0.1", closedPort());
    assertThat(order(engine)).isEqualTo(FleetOrderOutcome.UNREACHABLE);
    assertThat(report(engine)).isEmpty();
  }

  @Test
  void callsToSilentEngineEnd() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      RunnerEntry engine = engine("127.0.0.1", silent.getLocalPort());
      // The order is not written, as no connection has answered.
      assertThat(order(engine)).isEqualTo(FleetOrderOutcome.UNREACHABLE);
      assertThat(report(engine)).isEmpty();
    }
  }

  /** No decoder accepts such addresses, but a call must end even then. */
  @ParameterizedTest
  @CsvSource({
    "127.0.0.1, 0",
    "127.0.0.1, -1",
    "127.0.0.1, 65536",
    "::1, 80",
    "a b, 80",
    "'', 80",
    "no_such_host, 80",
    "256.1.1.1, 80",
  })
  void orderToUnusableAddressEnds(String host, int port) throws Exception {
    assertThat(order(engine(host, port)))
        .isAnyOf(FleetOrderOutcome.UNREACHABLE, FleetOrderOutcome.UNKNOWN);
  }
}
