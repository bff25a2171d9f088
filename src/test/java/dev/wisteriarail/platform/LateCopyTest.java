package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A runner sends a second copy of an answer, late, when the next request is on the same connection.
 */
class LateCopyTest {

  private static final int REQUESTS = 3;

  /** A copy may name the request that it answers, or none at all. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void nextCallerNeverGetsIt(boolean named) throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread.ofVirtual().start(() -> serveAll(server, named));
      fleet.platform().store().put("keyed.servers", "raw", entry(server.getLocalPort()));
      fleet.await(() -> ask(fleet, "first").statusCode() == 200);
      for (int i = 0; i < REQUESTS; i++) {
        HttpResponse<String> answer = ask(fleet, "late" + i);
        if (answer.statusCode() == 200) {
          assertThat(answer.body()).isEqualTo("answer to late" + i);
        } else {
          assertThat(answer.statusCode()).isEqualTo(502);
        }
      }
    }
  }

  private static HttpResponse<String> ask(GatewayFleet fleet, String id) {
    try {
      return fleet.send(0, "GET", "/lookup/1", "", id, "");
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  private static String entry(int port) {
    return String.format(
        "{\"service\":\"plain\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"slots\":4,"
            + "\"state\":\"ready\",\"models\":[],\"sequence\":1,\"born\":1}",
        port);
  }

  private static void serveAll(ServerSocket server, boolean named) {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        Thread.ofVirtual().start(() -> serve(socket, named));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private static void serve(Socket socket, boolean named) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII));
      OutputStream out = socket.getOutputStream();
      String before = "";
      String id = readRequest(in);
      while (!id.isEmpty()) {
        if (!before.isEmpty()) {
          out.write(answer(before, named).getBytes(US_ASCII));
        }
        out.write(answer(id, true).getBytes(US_ASCII));
        out.flush();
        before = id;
        id = readRequest(in);
      }
    } catch (IOException closed) {
      // The node closed the connection.
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

  private static String readRequest(BufferedReader in) throws IOException {
    String id = "";
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      if (line.startsWith("X-Wisteriarail-Request-Id: ")) {
        id = line.substring(line.indexOf(' ') + 1);
      }
      line = in.readLine();
    }
    return id;
  }
}
