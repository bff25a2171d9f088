package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that responses with an invalid status line reach no caller and are taken for no crash. */
class UnreadableAnswerTest {

  private static final String SIGNATURE = "X-Wisteriarail-Response-Signature";

  private final AtomicInteger answers = new AtomicInteger();
  private final List<String> runs = new CopyOnWriteArrayList<>();

  /** Answers each request on a connection with a status line and a signed body. */
  private void answer(Socket socket, String statusLine) throws IOException {
    BufferedReader in = RawRunner.reader(socket);
    String request = RawRunner.readRequest(in);
    while (!request.isEmpty()) {
      runs.add(request);
      String head =
          statusLine.replace("|", "\r\n\r\n")
              + "\r\nX-Wisteriarail-Request-Id: "
              + request
              + "\r\n"
              + SIGNATURE
              + ": s\r\nContent-Length: 2\r\n\r\nok";
      socket.getOutputStream().write(head.getBytes(US_ASCII));
      socket.getOutputStream().flush();
      answers.incrementAndGet();
      request = RawRunner.readRequest(in);
    }
  }

  private static HttpResponse<String> send(GatewayFleet fleet, String route, String request) {
    boolean model = route.equals("chat") || route.equals("report");
    try {
      String method = route.equals("lookup") ? "GET" : "POST";
      return fleet.send(0, method, "/" + route + "/1", model ? "m0" : "", request, "");
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  /** MIXED: a caller got a status outside 100 to 599 with the signature of its runner. */
  @ParameterizedTest
  @CsvSource({
    "lookup, HTTP/1.1 000 OK",
    "lookup, HTTP/1.1 600 Odd",
    "lookup, HTTP/1.1 999 Odd",
    "lookup, HTTP/1.1 2x0 OK",
    "lookup, HTTP/1.1 103 Early Hints|HTTP/1.1 999 Odd",
    "order, HTTP/1.1 000 OK",
    "order, HTTP/1.1 999 Odd",
    "report, HTTP/1.1 999 Odd",
    "chat, HTTP/1.1 000 OK",
    "chat, HTTP/1.1 999 Odd",
  })
  void invalidStatusReachesNoCaller(String route, String statusLine) throws Exception {
    boolean stream = route.equals("chat") || route.equals("report");
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner runner = RawRunner.start(socket -> answer(socket, statusLine))) {
      fleet
          .platform()
          .store()
          .put("keyed.servers", "raw", runner.directoryEntry(stream ? "engines" : "plain"));
      AtomicInteger number = new AtomicInteger();
      fleet.await(
          () -> {
            String request = route + number.incrementAndGet();
            HttpResponse<String> response = send(fleet, route, request);
            assertThat(response.headers().firstValue(SIGNATURE)).isEmpty();
            // The request may have run, so no status may deny that.
            assertThat(response.statusCode()).isAnyOf(502, 503, 504);
            assertThat(runs.contains(request) && response.statusCode() == 503).isFalse();
            return runs.contains(request);
          });
    }
  }

  /** A content was refused as crashing because runners that stayed up sent unreadable responses. */
  @Test
  void contentWithUnreadableResponsesIsNotRefusedAsCrashing() throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner first = RawRunner.start(socket -> answer(socket, "HTTP/1.1 2x0 OK"));
        RawRunner second = RawRunner.start(socket -> answer(socket, "HTTP/1.1 000 OK"));
        RawRunner third = RawRunner.start(socket -> answer(socket, "HTTP/1.1 999 Odd"))) {
      List<RawRunner> runners = List.of(first, second, third);
      for (int i = 0; i < runners.size(); i++) {
        fleet
            .platform()
            .store()
            .put("keyed.servers", "raw" + i, runners.get(i).directoryEntry("plain"));
      }
      fleet.await(() -> send(fleet, "lookup", "l" + System.nanoTime()).statusCode() == 502);
      Instant end = Instant.now().plus(Duration.ofSeconds(4));
      fleet.await(
          () -> {
            HttpResponse<String> response = send(fleet, "lookup", "l" + System.nanoTime());
            assertThat(response.headers().firstValue("X-Result-Code").orElse(""))
                .isNotEqualTo("WR-1211");
            return Instant.now().isAfter(end);
          });
      assertThat(answers.get()).isAtLeast(4);
    }
  }
}
