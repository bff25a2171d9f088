package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.RunnerEntry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * ONE: the bytes of an order that was given up waited in the buffer of a connection that its runner
 * had not accepted yet, or that had gone silent. They arrived after orders of the next lease
 * holder, as a reset does not take back what the runner's host has received.
 */
class OrderConnectionTest {

  private static final int LIMIT_MILLIS = 5_000;
  private static final int ORDER_TIMEOUT_MILLIS = 500;

  private final List<String> received = new CopyOnWriteArrayList<>();
  private ControlCallFixture fixture;
  private ServerSocket server;
  private HttpPlatformClient client;

  /** What a runner does with the connections to it. */
  enum Runner {
    ACCEPTS_TOO_LATE(ORDER_TIMEOUT_MILLIS + 300, 0),
    NEVER_ANSWERS(0, 0),
    HAS_GONE_SILENT(0, 1);

    private final int acceptDelayMillis;
    private final int answers;

    Runner(int acceptDelayMillis, int answers) {
      this.acceptDelayMillis = acceptDelayMillis;
      this.answers = answers;
    }
  }

  @BeforeEach
  void start() throws Exception {
    fixture = ControlCallFixture.start();
    server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    client = fixture.client(server.getLocalPort());
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
    fixture.close();
  }

  @ParameterizedTest
  @EnumSource(Runner.class)
  void orderIsNotWrittenToConnectionThatHasNotAnsweredLately(Runner runner) throws Exception {
    serve(runner.acceptDelayMillis, runner.answers);
    if (runner.answers > 0) {
      askForReport();
      Thread.sleep(1_100);
    }
    FleetOrderOutcome outcome = sendOrder();
    Thread.sleep(runner.acceptDelayMillis + 300);
    assertThat(received.stream().filter(line -> line.startsWith("POST")).toList()).isEmpty();
    assertThat(outcome).isEqualTo(FleetOrderOutcome.UNREACHABLE);
  }

  /** Orders cost no further call while the reports of their runners come on time. */
  @Test
  void orderFollowsRecentAnswerAtOnce() throws Exception {
    serve(0, 2);
    askForReport();
    assertThat(sendOrder()).isEqualTo(FleetOrderOutcome.HOLDS);
    assertThat(received).hasSize(2);
  }

  @Test
  void orderOnNewConnectionFollowsOneReport() throws Exception {
    serve(0, 2);
    assertThat(sendOrder()).isEqualTo(FleetOrderOutcome.HOLDS);
    assertThat(received.getFirst()).startsWith("GET");
    assertThat(received.getLast()).startsWith("POST");
  }

  /** An order that was written may be carried out, so it must not count as not sent. */
  @Test
  void outcomeOfOrderWithoutAnswerIsUnknown() throws Exception {
    serve(0, 1);
    askForReport();
    assertThat(sendOrder()).isEqualTo(FleetOrderOutcome.UNKNOWN);
    assertThat(received.getLast()).startsWith("POST");
  }

  private void askForReport() throws Exception {
    assertThat(
            ControlCallFixture.requestReport(client, entry())
                .get(LIMIT_MILLIS, TimeUnit.MILLISECONDS))
        .isNotNull();
  }

  private FleetOrderOutcome sendOrder() throws Exception {
    return ControlCallFixture.sendOrder(client, entry()).get(LIMIT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private RunnerEntry entry() {
    return ControlCallFixture.runner("127.0.0.1", server.getLocalPort());
  }

  /** Accepts connections, records the first lines of requests and answers some of them. */
  private void serve(int acceptDelayMillis, int answers) {
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                while (true) {
                  Thread.sleep(acceptDelayMillis);
                  Socket connection = server.accept();
                  Thread.ofVirtual().start(() -> serve(connection, answers));
                }
              } catch (IOException | InterruptedException closed) {
                // The test has ended.
              }
            });
  }

  private void serve(Socket connection, int answers) {
    byte[] answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".getBytes(ISO_8859_1);
    byte[] buffer = new byte[64 * 1024];
    try (connection) {
      while (true) {
        int count = connection.getInputStream().read(buffer);
        if (count < 0) {
          return;
        }
        String text = new String(buffer, 0, count, ISO_8859_1);
        if (text.startsWith("GET") || text.startsWith("POST")) {
          received.add(text.lines().findFirst().orElseThrow());
          if (received.size() <= answers) {
            connection.getOutputStream().write(answer);
          }
        }
      }
    } catch (IOException reset) {
      // The client has given up its call.
    }
  }
}
