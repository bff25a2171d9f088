package dev.wisteriarail.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import dev.wisteriarail.core.forward.ForwardRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what a caller receives if the node itself ends an exchange. */
final class CallerExchangeTest {

  private static final int READ_LIMIT_MILLIS = 10_000;
  private static final int STATUS = 502;

  /** Guards against a refusal after the start of a response leaving the caller waiting forever. */
  @ParameterizedTest
  @CsvSource({"false", "true"})
  void failedExchangeEndsWhetherOrNotItsAnswerHasBegun(boolean started) throws Exception {
    Server server = new Server();
    ServerConnector connector = new ServerConnector(server);
    server.addConnector(connector);
    server.setHandler(
        new Handler.Abstract.NonBlocking() {
          @Override
          public boolean handle(Request request, Response response, Callback callback) {
            CallerExchange exchange =
                new CallerExchange(forward(), request, response, callback, new byte[0]);
            exchange.setCurrentAttempt(1);
            if (started) {
              exchange.relay(
                  1, 200, HttpFields.EMPTY, "id: 1\ndata: x\n\n".getBytes(US_ASCII), Callback.NOOP);
            }
            exchange.fail(STATUS, HttpFields.EMPTY);
            return true;
          }
        });
    server.start();
    try {
      String answer = call(connector.getLocalPort());
      assertThat(answer.contains(" 502 ")).isEqualTo(!started);
      assertThat(answer).doesNotContain("\r\n0\r\n");
    } finally {
      server.stop();
    }
  }

  /** Returns all bytes until the connection ends; fails if it does not end in time. */
  private static String call(int port) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(READ_LIMIT_MILLIS);
      socket
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".getBytes(US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), US_ASCII);
    }
  }

  private static ForwardRequest forward() {
    return new ForwardRequest(
        1,
        "r1",
        "h",
        "/",
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        0,
        0,
        List.of(),
        1);
  }
}
