package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests responses of a runner that have no length and end when their connection is closed. */
class UnframedAnswerTest {

  @ParameterizedTest
  @CsvSource({"false, 200", "true, 502"})
  void answerThatIsResetOnTheWayIsNotWhole(boolean reset, int status) throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner runner = RawRunner.start(socket -> serve(socket, reset))) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("plain"));
      HttpResponse<String>[] answer = newHolder();
      fleet.await(
          () -> {
            answer[0] = order(fleet);
            return answer[0].statusCode() != 503;
          });
      assertThat(answer[0].statusCode()).isEqualTo(status);
      if (!reset) {
        assertThat(answer[0].body()).isEqualTo("whole");
      }
    }
  }

  @SuppressWarnings("unchecked")
  private static HttpResponse<String>[] newHolder() {
    return new HttpResponse[1];
  }

  private static HttpResponse<String> order(GatewayFleet fleet) {
    try {
      return fleet.send(0, "POST", "/order/1", "");
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  private static void serve(Socket socket, boolean reset) throws IOException {
    BufferedReader in = RawRunner.reader(socket);
    String id = RawRunner.readRequest(in);
    in.skip("body".length());
    String head =
        "HTTP/1.1 200 OK\r\nX-Wisteriarail-Request-Id: "
            + id
            + "\r\nX-Wisteriarail-Response-Signature: s\r\nConnection: close\r\n\r\n";
    socket.getOutputStream().write((head + "whole").getBytes(US_ASCII));
    socket.getOutputStream().flush();
    if (reset) {
      socket.setSoLinger(true, 0);
    }
  }
}
