package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests slow but valid streams, and stalled streams in which single bytes still arrive. */
class StreamPaceTest {

  private static final int EVENTS = 5;

  /** Longer than any pause within the objectives of the tests' configuration. */
  private static final long EVENT_PAUSE_MILLIS = 500;

  private static final long BYTE_PAUSE_MILLIS = 100;

  /** The caller's deadline of five seconds plus a margin for a busy machine. */
  private static final Duration MAX_TIME = Duration.ofSeconds(12);

  @ParameterizedTest
  @CsvSource({"/report/1, false", "/chat/1, false", "/report/1, true", "/chat/1, true"})
  void slowStreamIsWholeAndStalledOneEnds(String path, boolean stalls) throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner runner = RawRunner.start(socket -> stream(socket, stalls))) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("engines"));
      long startedAt = System.nanoTime();
      int status = 503;
      String body = "";
      while (status == 503) {
        startedAt = System.nanoTime();
        try {
          HttpResponse<String> answer = fleet.send(0, "POST", path, "m0");
          status = answer.statusCode();
          body = answer.body();
        } catch (IOException cut) {
          status = 0;
        }
      }
      if (stalls) {
        assertThat(status).isAnyOf(0, 502, 504);
        assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isLessThan(MAX_TIME);
      } else {
        assertThat(status).isEqualTo(200);
        assertThat(body).isEqualTo(events());
      }
    }
  }

  private static String events() {
    StringBuilder all = new StringBuilder();
    for (int i = 1; i <= EVENTS; i++) {
      all.append(event(i));
    }
    return all.toString();
  }

  private static String event(int number) {
    return "id: " + number + "\ndata: x\n\n";
  }

  private static void stream(Socket socket, boolean stalls)
      throws IOException, InterruptedException {
    String id = RawRunner.readRequest(RawRunner.reader(socket));
    if (id.isEmpty()) {
      return;
    }
    OutputStream out = socket.getOutputStream();
    out.write(
        ("HTTP/1.1 200 OK\r\nX-Wisteriarail-Request-Id: "
                + id
                + "\r\nX-Wisteriarail-Response-Signature: s\r\nConnection: close\r\n\r\n")
            .getBytes(US_ASCII));
    if (stalls) {
      writeUnfinishedEvent(out);
    }
    for (int i = 1; i <= EVENTS; i++) {
      out.write(event(i).getBytes(US_ASCII));
      out.flush();
      Thread.sleep(EVENT_PAUSE_MILLIS);
    }
  }

  /** Writes an event that never ends, byte by byte, until the node closes the connection. */
  private static void writeUnfinishedEvent(OutputStream out)
      throws IOException, InterruptedException {
    while (true) {
      out.write('x');
      out.flush();
      Thread.sleep(BYTE_PAUSE_MILLIS);
    }
  }
}
