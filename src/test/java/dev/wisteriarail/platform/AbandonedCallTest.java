package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.LeaseRecord;
import dev.wisteriarail.core.fleet.RunnerEntry;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that a control call that is given up resets its connection. After an orderly close, the
 * bytes of an order that an interrupted path held back would reach the runner once the path works
 * again, after orders of the next lease holder.
 */
class AbandonedCallTest {

  private static final int LIMIT_MILLIS = 5_000;

  private ControlCallFixture fixture;

  enum Call {
    ORDER,
    REPORT,
    LEASE_RENEWAL
  }

  @BeforeEach
  void start() throws Exception {
    fixture = ControlCallFixture.start();
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  @ParameterizedTest
  @EnumSource(Call.class)
  void unansweredCallResetsItsConnection(Call call) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      CountDownLatch ended = new CountDownLatch(1);
      CountDownLatch answered = new CountDownLatch(1);
      boolean order = call == Call.ORDER;
      // An order is written only to a connection on which a report was answered.
      send(order ? Call.REPORT : call, server.getLocalPort(), order ? answered : ended);
      try (Socket connection = server.accept()) {
        connection.setSoTimeout(LIMIT_MILLIS);
        assertThat(connection.getInputStream().read()).isAtLeast(0);
        if (order) {
          connection.getInputStream().skip(connection.getInputStream().available());
          connection
              .getOutputStream()
              .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".getBytes(ISO_8859_1));
          assertThat(answered.await(LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
          send(call, server.getLocalPort(), ended);
          assertThat(connection.getInputStream().read()).isAtLeast(0);
        }
        assertThat(ended.await(LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        assertThrows(
            SocketException.class, () -> connection.getInputStream().readAllBytes(), "no reset");
      }
    }
  }

  private void send(Call call, int port, CountDownLatch ended) {
    HttpPlatformClient client = fixture.client(port);
    RunnerEntry runner = ControlCallFixture.runner("127.0.0.1", port);
    switch (call) {
      case ORDER -> {
        CompletableFuture<Void> _ =
            ControlCallFixture.sendOrder(client, runner).thenRun(ended::countDown);
      }
      case REPORT -> {
        CompletableFuture<Void> _ =
            ControlCallFixture.requestReport(client, runner).thenRun(ended::countDown);
      }
      default ->
          client.callLease(
              new LeaseCall.Append(1, LeaseRecord.claim("n", 1, 0)), answer -> ended.countDown());
    }
  }
}
