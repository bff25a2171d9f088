package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.standin.RunnerStandin;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that changes of the configured limit on request headers take effect. */
final class HeaderLimitTest {

  private static final int SOCKET_TIMEOUT_MILLIS = 30_000;
  private static final String STATUS_LINE_START = "HTTP/1.1 ";
  private static final int STATUS_DIGITS = 3;
  private static final int DEFAULT_LIMIT = 16 * 1024;
  private static final int RAISED_LIMIT = 40_000;
  private static final int HIGH_LIMIT = 200_000;
  private static final int LOWERED_LIMIT = 2_000;

  private GatewayFleet fleet;
  private int requests;

  @BeforeEach
  void start() throws Exception {
    fleet = GatewayFleet.start(1, 0, 1);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  private Socket connect() throws IOException {
    var at = fleet.node(0).file().callers();
    Socket socket = new Socket(at.host(), at.port());
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    return socket;
  }

  /** Sends a request with a header of this many bytes and returns the response's status. */
  private int send(Socket socket, int headerBytes) throws IOException {
    String id = id(requests++);
    String start =
        "GET /lookup/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Wisteriarail-Request-Id: "
            + id
            + "\r\nX-Wisteriarail-Deadline-Ms: 5000\r\nX-Wide: ";
    String end = "\r\n\r\n";
    String wide = "x".repeat(headerBytes - start.length() - end.length());
    socket.getOutputStream().write((start + wide + end).getBytes(UTF_8));
    socket.getOutputStream().flush();
    String answer = readAnswer(socket, id);
    if (answer.isEmpty()) {
      throw new IOException("the connection was closed without a response");
    }
    int from = STATUS_LINE_START.length();
    return Integer.parseInt(answer.substring(from, from + STATUS_DIGITS));
  }

  private int sendOnNew(int headerBytes) {
    try (Socket socket = connect()) {
      return send(socket, headerBytes);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /**
   * Returns whether a request with such a header is served. A node that does not parse headers of
   * this size may close the connection before it has received all of it.
   */
  private boolean passes(int headerBytes) {
    try (Socket socket = connect()) {
      return send(socket, headerBytes) == 200;
    } catch (IOException closed) {
      return false;
    }
  }

  private static String id(int number) {
    return "header-" + number;
  }

  private static String readAnswer(Socket socket, String id) throws IOException {
    StringBuilder read = new StringBuilder();
    int next = socket.getInputStream().read();
    while (next >= 0) {
      read.append((char) next);
      if (isWhole(read.toString(), id)) {
        break;
      }
      next = socket.getInputStream().read();
    }
    return read.toString();
  }

  /** A runner's response ends with the request's id; any other response has no body. */
  private static boolean isWhole(String text, String id) {
    boolean empty = text.contains("Content-Length: 0");
    return text.endsWith("done " + id) || (empty && text.endsWith("\r\n\r\n"));
  }

  private List<String> executedRequests() {
    return fleet.platform().runners().stream()
        .map(RunnerStandin::executedRequests)
        .flatMap(List::stream)
        .toList();
  }

  private void publish(int limit) {
    fleet.platform().publish(List.of(), Map.of("max_header_bytes", limit));
  }

  @Test
  void raisedLimitHoldsForNewRequestsAlsoOnOpenConnections() throws Exception {
    try (Socket kept = connect()) {
      assertThat(send(kept, DEFAULT_LIMIT - 1_000)).isEqualTo(200);
      assertThat(sendOnNew(DEFAULT_LIMIT + 1_000)).isEqualTo(431);
      publish(RAISED_LIMIT);
      fleet.await(() -> sendOnNew(RAISED_LIMIT - 1_000) == 200);
      assertThat(send(kept, RAISED_LIMIT - 1_000)).isEqualTo(200);
    }
    assertThat(sendOnNew(RAISED_LIMIT + 1_000)).isEqualTo(431);
    assertThat(executedRequests()).doesNotContain(id(requests - 1));
  }

  @Test
  void loweredLimitHoldsForNewRequestsAlsoOnOpenConnections() throws Exception {
    try (Socket kept = connect()) {
      assertThat(send(kept, LOWERED_LIMIT + 1_000)).isEqualTo(200);
      publish(LOWERED_LIMIT);
      fleet.await(() -> sendOnNew(LOWERED_LIMIT + 1_000) == 431);
      assertThat(send(kept, LOWERED_LIMIT - 1_000)).isEqualTo(200);
      assertThat(send(kept, LOWERED_LIMIT + 1_000)).isEqualTo(431);
    }
    assertThat(executedRequests()).doesNotContain(id(requests - 1));
    assertThat(sendOnNew(LOWERED_LIMIT - 1_000)).isEqualTo(200);
  }

  @Test
  void limitBeyondWhatConnectionsReadAtFirstHoldsForNewConnections() throws Exception {
    publish(HIGH_LIMIT);
    fleet.await(() -> passes(HIGH_LIMIT - 1_000));
    assertThat(sendOnNew(HIGH_LIMIT + 100)).isEqualTo(431);
    assertThat(executedRequests()).doesNotContain(id(requests - 1));
  }
}
