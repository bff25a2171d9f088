package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerReport;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that calls to engines end if nobody answers them or their address cannot be used. */
class UnreachableCallTest {

  private static final long LIMIT_SECONDS = 5;

  private ControlCallFixture fixture;
  private HttpPlatformClient calls;

  @BeforeEach
  void start() throws Exception {
    fixture = ControlCallFixture.start();
    calls = fixture.client(1);
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private FleetOrderOutcome order(RunnerEntry engine) throws Exception {
    return ControlCallFixture.sendOrder(calls, engine).get(LIMIT_SECONDS, TimeUnit.SECONDS);
  }

  private Optional<RunnerReport> report(RunnerEntry engine) throws Exception {
    return ControlCallFixture.requestReport(calls, engine).get(LIMIT_SECONDS, TimeUnit.SECONDS);
  }

  private static int closedPort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  @Test
  void callsToClosedPortEnd() throws Exception {
    RunnerEntry engine = ControlCallFixture.runner("127.0.0.1", closedPort());
    assertThat(order(engine)).isEqualTo(FleetOrderOutcome.UNREACHABLE);
    assertThat(report(engine)).isEmpty();
  }

  @Test
  void callsToSilentEngineEnd() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      RunnerEntry engine = ControlCallFixture.runner("127.0.0.1", silent.getLocalPort());
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
    assertThat(order(ControlCallFixture.runner(host, port)))
        .isAnyOf(FleetOrderOutcome.UNREACHABLE, FleetOrderOutcome.UNKNOWN);
  }
}
