package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests a runner that sends a delayed duplicate of a response after it received the next request on
 * the same connection.
 */
class LateCopyTest {

  private static final int REQUESTS = 3;

  /** The duplicate contains the id of the request that it belongs to, or no id. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void nextCallerNeverGetsIt(boolean named) throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner runner = RawRunner.start(socket -> answerTwice(socket, named))) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("plain"));
      fleet.await(() -> sendLookup(fleet, "first").statusCode() == 200);
      for (int i = 0; i < REQUESTS; i++) {
        HttpResponse<String> answer = sendLookup(fleet, "late" + i);
        if (answer.statusCode() == 200) {
          assertThat(answer.body()).isEqualTo("answer to late" + i);
        } else {
          assertThat(answer.statusCode()).isEqualTo(502);
        }
      }
    }
  }

  private static HttpResponse<String> sendLookup(GatewayFleet fleet, String id) {
    try {
      return fleet.send(0, "GET", "/lookup/1", "", id, "");
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  private static void answerTwice(Socket socket, boolean named) throws IOException {
    BufferedReader in = RawRunner.reader(socket);
    OutputStream out = socket.getOutputStream();
    String before = "";
    String id = RawRunner.readRequest(in);
    while (!id.isEmpty()) {
      if (!before.isEmpty()) {
        out.write(answer(before, named).getBytes(US_ASCII));
      }
      out.write(answer(id, true).getBytes(US_ASCII));
      out.flush();
      before = id;
      id = RawRunner.readRequest(in);
    }
  }

  private static String answer(String id, boolean named) {
    String body = "answer to " + id;
    return "HTTP/1.1 200 OK\r\n"
        + (named ? "X-Wisteriarail-Request-Id: " + id + "\r\n" : "")
        + "X-Wisteriarail-Response-Signature: s\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }
}
