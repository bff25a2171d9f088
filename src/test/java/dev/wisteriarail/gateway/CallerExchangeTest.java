package dev.wisteriarail.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.gateway.HeldBytes;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what a caller receives if the node ends an exchange or several attempts answer it. */
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
            CallerExchange exchange = exchange(request, response, callback);
            exchange.addAttempt(1);
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

  /** Guards against events of two runs being mixed while both are live. */
  @ParameterizedTest
  @CsvSource({"1, 2", "2, 1"})
  void attemptThatWritesFirstIsTheOnlyOneThatGoesOn(int winner, int loser) throws Exception {
    List<Object> results = new CopyOnWriteArrayList<>();
    CountDownLatch handled = new CountDownLatch(1);
    Server server = new Server();
    ServerConnector connector = new ServerConnector(server);
    server.addConnector(connector);
    server.setHandler(
        new Handler.Abstract.NonBlocking() {
          @Override
          public boolean handle(Request request, Response response, Callback callback) {
            CallerExchange exchange = exchange(request, response, callback);
            exchange.addAttempt(1);
            results.add(relay(exchange, 1, "id: 1\ndata: x\n\n"));
            exchange.addAttempt(2);
            results.add(exchange.takeNewestDropped(1));
            results.add(relay(exchange, loser, "id: 2\ndata: " + loser));
            results.add(relay(exchange, winner, "id: 2\ndata: " + winner + "\n\n"));
            results.add(exchange.takeNewestDropped(winner));
            results.add(relay(exchange, loser, "\n\n"));
            results.add(exchange.hasPartialEvent(loser));
            results.add(exchange.finish(loser, 200, HttpFields.EMPTY));
            results.add(relay(exchange, winner, "id: 3\ndata: x\n\n"));
            results.add(exchange.finish(winner, 200, HttpFields.EMPTY));
            handled.countDown();
            return true;
          }
        });
    server.start();
    try {
      String answer = call(connector.getLocalPort());
      assertThat(handled.await(READ_LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      assertThat(results)
          .containsExactly(
              CallerExchange.RelayResult.WRITTEN,
              0,
              CallerExchange.RelayResult.NO_EVENT,
              CallerExchange.RelayResult.WRITTEN,
              loser,
              CallerExchange.RelayResult.REFUSED,
              false,
              false,
              CallerExchange.RelayResult.WRITTEN,
              true)
          .inOrder();
      assertThat(answer.lines().filter(line -> line.startsWith("data: ")).toList())
          .containsExactly("data: x", "data: " + winner, "data: x")
          .inOrder();
      assertThat(answer).endsWith("\r\n0\r\n\r\n");
    } finally {
      server.stop();
    }
  }

  private static CallerExchange.RelayResult relay(
      CallerExchange exchange, int attempt, String bytes) {
    Callback.Completable written = new Callback.Completable();
    CallerExchange.RelayResult result =
        exchange.relay(attempt, 200, HttpFields.EMPTY, bytes.getBytes(US_ASCII), written);
    if (result == CallerExchange.RelayResult.WRITTEN) {
      written.orTimeout(READ_LIMIT_MILLIS, TimeUnit.MILLISECONDS).join();
    }
    return result;
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

  private static CallerExchange exchange(Request request, Response response, Callback callback) {
    return new CallerExchange(
        forward(), request, response, callback, new byte[0], HeldBytes.countOnly(Long.MAX_VALUE));
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
        true,
        0,
        0,
        List.of(),
        1,
        0,
        Optional.empty());
  }
}
