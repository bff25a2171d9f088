package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.standin.RunnerStandin;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that malformed, ambiguous and oversized requests of callers reach no runner. */
final class BadCallerTest {

  private static final int SOCKET_TIMEOUT_MILLIS = 30_000;

  private static GatewayFleet fleet;

  @BeforeAll
  static void start() throws Exception {
    fleet = GatewayFleet.start(1, 0, 2);
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  private static Socket connect() throws IOException {
    var at = fleet.node(0).file().callers();
    Socket socket = new Socket(at.host(), at.port());
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(UTF_8));
    socket.getOutputStream().flush();
  }

  private static String head(String id, String more) {
    return "POST /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Wisteriarail-Request-Id: "
        + id
        + "\r\nX-Wisteriarail-Deadline-Ms: 5000\r\n"
        + more
        + "\r\n";
  }

  private static List<String> executedRequests() {
    return fleet.platform().runners().stream()
        .map(RunnerStandin::executedRequests)
        .flatMap(List::stream)
        .toList();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "two lengths|Content-Length: 4\\r\\nContent-Length: 5\\r\\n",
        "a length and chunks|Content-Length: 4\\r\\nTransfer-Encoding: chunked\\r\\n",
        "an unknown coding|Transfer-Encoding: xchunked\\r\\n",
        "chunks before another coding|Transfer-Encoding: chunked, gzip\\r\\n",
        "a length that is no number|Content-Length: 4x\\r\\n",
        "a negative length|Content-Length: -4\\r\\n",
        "a space before the colon|Content-Length : 4\\r\\n",
        "a folded header|X-A: b\\r\\n c\\r\\nContent-Length: 4\\r\\n",
        "a header without a name|: b\\r\\nContent-Length: 4\\r\\n",
      })
  void ambiguousRequestsAreRefusedAndReachNoRunner(String name, String headers) throws Exception {
    String id = "bad-" + name.replace(' ', '-');
    try (Socket socket = connect()) {
      write(socket, head(id, headers.replace("\\r\\n", "\r\n")) + "body");
      String answer = new String(socket.getInputStream().readAllBytes(), UTF_8);
      assertThat(answer).matches("(?s)HTTP/1.1 (400|501).*");
      assertThat(executedRequests()).doesNotContain(id);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "GARBAGE",
    "GET",
    "GET /lookup/1 HTTP/9.9",
    "'GET /lookup/1 HTTP/1.1 more'",
    "'GET  HTTP/1.1'",
  })
  void linesThatAreNoRequestGetAnErrorAndReachNoRunner(String line) throws Exception {
    int before = executedRequests().size();
    try (Socket socket = connect()) {
      write(socket, line + "\r\nHost: 127.0.0.1\r\n\r\n");
      String answer = new String(socket.getInputStream().readAllBytes(), UTF_8);
      assertThat(answer).matches("(?s)HTTP/1.1 [45].*");
      assertThat(executedRequests()).hasSize(before);
    }
  }

  @Test
  void requestInsideBodyIsNoRequest() throws Exception {
    String inner =
        "GET /lookup/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Wisteriarail-Request-Id: inner\r\n\r\n";
    try (Socket socket = connect()) {
      String headers = "Content-Length: " + inner.length() + "\r\nConnection: close\r\n";
      write(socket, head("outer", headers) + inner);
      String answer = new String(socket.getInputStream().readAllBytes(), UTF_8);
      assertThat(answer).contains("done outer");
      assertThat(executedRequests()).contains("outer");
      assertThat(executedRequests()).doesNotContain("inner");
    }
  }

  @Test
  void bodyThatIsCutShortReachesNoRunner() throws Exception {
    try (Socket socket = connect()) {
      write(socket, head("half", "Content-Length: 100\r\n") + "only this");
      socket.shutdownOutput();
      String answer = new String(socket.getInputStream().readAllBytes(), UTF_8);
      assertThat(answer).doesNotContain("HTTP/1.1 200");
      assertThat(executedRequests()).doesNotContain("half");
    }
  }

  @Test
  void slowBodyIsServedOnceItIsWhole() throws Exception {
    try (Socket socket = connect()) {
      write(socket, head("slow", "Content-Length: 8\r\nConnection: close\r\n") + "half");
      // Another request is served in between, so the node had time to read the first part.
      assertThat(fleet.send(0, "GET", "/lookup/1", "").statusCode()).isEqualTo(200);
      assertThat(executedRequests()).doesNotContain("slow");
      write(socket, "half");
      String answer = new String(socket.getInputStream().readAllBytes(), UTF_8);
      assertThat(answer).contains("done slow");
    }
  }

  @Test
  void hugeBodyIsRefusedAndReachesNoRunner() throws Exception {
    var answer = fleet.send(0, "POST", "/order/1", "", "huge", "x".repeat(200_000));
    assertThat(answer.statusCode()).isEqualTo(413);
    assertThat(executedRequests()).doesNotContain("huge");
  }

  /**
   * Guards against closing a connection with an unread body: its reset could reach the caller
   * before the refusal.
   */
  @Test
  void refusalOfHugeBodyReachesOneCallerThatSendsAllOfItFirst() throws Exception {
    byte[] part = new byte[64 * 1024];
    int parts = 64;
    try (Socket socket = connect()) {
      write(socket, head("eager", "Content-Length: " + part.length * parts + "\r\n"));
      for (int i = 0; i < parts; i++) {
        socket.getOutputStream().write(part);
      }
      String answer = new String(socket.getInputStream().readAllBytes(), UTF_8);
      assertThat(answer).startsWith("HTTP/1.1 413");
      assertThat(executedRequests()).doesNotContain("eager");
    }
  }

  /** Repeats the request because the fault was rare: 2 of 1,500 callers received no refusal. */
  @Test
  void refusalOfHugeBodyReachesManyCallersInTurn() throws Exception {
    String huge = "x".repeat(200_000);
    for (int i = 0; i < 500; i++) {
      assertThat(fleet.send(0, "POST", "/order/1", "", "huge", huge).statusCode()).isEqualTo(413);
    }
  }

  @Test
  void hugeHeadersAreRefusedAndReachNoRunner() throws Exception {
    try (Socket socket = connect()) {
      write(socket, head("wide", "X-A: " + "x".repeat(100_000) + "\r\n"));
      String answer = new String(socket.getInputStream().readAllBytes(), UTF_8);
      assertThat(answer).startsWith("HTTP/1.1 431");
      assertThat(executedRequests()).doesNotContain("wide");
    }
  }
}
