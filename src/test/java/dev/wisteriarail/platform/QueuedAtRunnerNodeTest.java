package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of requests that are at a runner, without an answer, when their real node ends. */
final class QueuedAtRunnerNodeTest {

  private static final Duration GRACE = Duration.ofSeconds(4);

  /** Run times known before the stop request. */
  private static final int KNOWN_RUNS = 20;

  private final AtomicReference<Behaviour> behaviour = new AtomicReference<>(Behaviour.SOUND);

  /**
   * Guards against a request whose node ends without an answer, or without the runner's report that
   * it was not executed.
   */
  @ParameterizedTest
  @CsvSource({
    // behaviour of the runner, time after the stop request in ms, status, retry-after time
    "QUEUED, 100, 503, true",
    "QUEUED, 800, 503, true",
    "QUEUED, 1600, 503, true",
    "QUEUED, -300, 502, false",
    "RUNNING, 800, 504, false",
    "RUNNING, -300, 502, false",
    "SILENT, 800, 502, false",
    "SILENT, -300, 502, false",
  })
  void requestAtRunnerGetsItsFinalAnswerBeforeTheNodeEnds(
      Behaviour later, long afterMillis, int status, boolean retryAfter) throws Exception {
    try (GatewayFleet fleet = GatewayFleet.startOne(GRACE);
        RawRunner runner = RawRunner.start(this::answer)) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("plain"));
      fleet.await(() -> order(fleet).statusCode() == 200);
      for (int i = 0; i < KNOWN_RUNS; i++) {
        assertThat(order(fleet).statusCode()).isEqualTo(200);
      }
      behaviour.set(later);
      CompletableFuture<HttpResponse<String>> early =
          CompletableFuture.supplyAsync(() -> order(fleet));
      Thread.sleep(Math.max(0, -afterMillis));
      final Thread stopping = fleet.stopInBackground(0);
      HttpResponse<String> answer;
      if (afterMillis < 0) {
        answer = early.join();
      } else {
        Thread.sleep(afterMillis);
        answer = order(fleet);
      }
      assertThat(answer.statusCode()).isEqualTo(status);
      assertThat(answer.headers().firstValue("Retry-After").isPresent()).isEqualTo(retryAfter);
      assertThat(early.join().statusCode()).isAnyOf(502, 503, 504);
      stopping.join();
    }
  }

  private static HttpResponse<String> order(GatewayFleet fleet) {
    try {
      return fleet.send(0, "POST", "/order/1", "");
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  private void answer(Socket socket) throws IOException, InterruptedException {
    BufferedReader in = RawRunner.reader(socket);
    String request = "";
    long limitMillis = 0;
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      String value = line.substring(line.indexOf(' ') + 1);
      if (line.startsWith("X-Wisteriarail-Request-Id: ")) {
        request = value;
      } else if (line.startsWith("X-Wisteriarail-Deadline-Ms: ")) {
        limitMillis = Long.parseLong(value);
      }
    }
    if (request.isEmpty()) {
      return;
    }
    String head = "X-Wisteriarail-Request-Id: " + request + "\r\nContent-Length: 5\r\n";
    switch (behaviour.get()) {
      case SOUND -> write(socket, "200 OK\r\nX-Wisteriarail-Response-Signature: s\r\n" + head);
      case QUEUED -> {
        Thread.sleep(limitMillis);
        write(socket, "503 Service Unavailable\r\nX-Wisteriarail-Not-Executed: 1\r\n" + head);
      }
      case RUNNING -> {
        Thread.sleep(limitMillis);
        write(socket, "504 Gateway Timeout\r\nX-Wisteriarail-Response-Signature: s\r\n" + head);
      }
      default -> in.read();
    }
  }

  private static void write(Socket socket, String head) throws IOException {
    socket.getOutputStream().write(("HTTP/1.1 " + head + "\r\nwhole").getBytes(US_ASCII));
    socket.getOutputStream().flush();
  }

  enum Behaviour {
    /** Answers at once. */
    SOUND,
    /** Leaves the request in its queue until its time limit. */
    QUEUED,
    /** Runs the request until its time limit. */
    RUNNING,
    /** Sends nothing. */
    SILENT
  }
}
