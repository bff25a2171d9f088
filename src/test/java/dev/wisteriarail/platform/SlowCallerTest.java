package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;

/** Tests that a runner does not count as silent while its caller does not read. */
class SlowCallerTest {

  private static final int EVENTS = 120;

  /** More in all than the socket buffers between a runner and a caller hold. */
  private static final int EVENT_BYTES = 100_000;

  private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

  /** Longer than the time after which a silent runner's request is sent to another one. */
  private static final long PAUSE_MILLIS = 1_500;

  private static final int READ_TIMEOUT_MILLIS = 20_000;

  private static final String DATA = "x".repeat(EVENT_BYTES);

  /** The number of attempts by request. */
  private final Map<String, Integer> attempts = new ConcurrentHashMap<>();

  @Test
  void callerThatStopsReadingCausesNoFurtherAttempt() throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner one = RawRunner.start(this::stream);
        RawRunner other = RawRunner.start(this::stream)) {
      fleet.platform().store().put("keyed.servers", "one", one.directoryEntry("engines"));
      fleet.platform().store().put("keyed.servers", "other", other.directoryEntry("engines"));
      long events = 0;
      for (int i = 0; events == 0 && i < 40; i++) {
        events = countEventsOfSlowCaller(fleet, "slow" + i);
      }
      assertWithMessage("events").that(events).isEqualTo(EVENTS);
      assertThat(attempts).hasSize(1);
      assertWithMessage("attempts").that(attempts.values()).containsExactly(1);
    }
  }

  /** Returns the number of events, or 0 if the request was refused. */
  private static long countEventsOfSlowCaller(GatewayFleet fleet, String id)
      throws IOException, InterruptedException {
    var callers = fleet.node(0).file().callers();
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.connect(new InetSocketAddress(callers.host(), callers.port()));
      socket.getOutputStream().write(request(id).getBytes(US_ASCII));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String status = readLine(in);
      if (!status.startsWith("HTTP/1.1 200")) {
        return 0;
      }
      Thread.sleep(PAUSE_MILLIS);
      long events = 0;
      int bytesOfX = 0;
      for (int next = in.read(); next >= 0; next = in.read()) {
        bytesOfX += next == 'x' ? 1 : 0;
        if (bytesOfX == EVENT_BYTES) {
          events++;
          bytesOfX = 0;
        }
      }
      return events;
    }
  }

  private static String request(String id) {
    return "POST /chat/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nContent-Length: 4\r\n"
        + "X-Wisteriarail-Model: m0\r\nX-Wisteriarail-Deadline-Ms: 5000\r\n"
        + "X-Wisteriarail-Request-Id: "
        + id
        + "\r\n\r\nbody";
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      line.append((char) next);
    }
    return line.toString();
  }

  private void stream(Socket socket) throws IOException {
    String id = RawRunner.readRequest(RawRunner.reader(socket));
    if (id.isEmpty()) {
      return;
    }
    attempts.merge(id, 1, Integer::sum);
    OutputStream out = socket.getOutputStream();
    out.write(
        ("HTTP/1.1 200 OK\r\nX-Wisteriarail-Request-Id: "
                + id
                + "\r\nX-Wisteriarail-Response-Signature: s\r\nConnection: close\r\n\r\n")
            .getBytes(US_ASCII));
    for (int i = 1; i <= EVENTS; i++) {
      out.write(("id: " + i + "\ndata: " + DATA + "\n\n").getBytes(US_ASCII));
    }
    socket.shutdownOutput();
  }
}
