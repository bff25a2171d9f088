package dev.wisteriarail.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.gateway.HeldBytes;
import dev.wisteriarail.platform.CallerHeaders;
import dev.wisteriarail.runtime.ListenerBinder;
import dev.wisteriarail.settings.GatewayFile;
import dev.wisteriarail.settings.TomlDocument;
import dev.wisteriarail.standin.LoopbackSettings;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which responses callers receive while a node stops. */
final class CallerFrontTest {

  private static final int ANSWER_BYTES = 7 * 1024 * 1024;

  /** Size of an answer that the system buffers while its caller does not read. */
  private static final int BUFFERED_BYTES = 128 * 1024;

  private static final int CALLERS = 10;
  private static final int RECEIVE_BYTES = 4_096;
  private static final int READ_BYTES = 64 * 1024;
  private static final long READ_PAUSE_NANOS = 10_000_000;
  private static final int ANSWER_TIMEOUT_MILLIS = 10_000;
  private static final String POST_HEAD =
      """
      POST /order/1 HTTP/1.1\r
      Host: a\r
      X-Wisteriarail-Request-Id: r1\r
      Content-Length: 4\r
      \r
      """;
  private static final Duration LIMIT = Duration.ofSeconds(60);

  private final BlockingQueue<GatewayEvent> events = new LinkedBlockingQueue<>();
  private final QueuedThreadPool threads = new QueuedThreadPool(12, 4);
  private final Scheduler scheduler = new ScheduledExecutorScheduler("timer", true);

  private CallerServer server;
  private LoopbackSettings settings;

  @BeforeEach
  void start() throws Exception {
    settings = LoopbackSettings.of("n0", "127.0.0.1:1");
    GatewayFile file = GatewayFile.from(TomlDocument.parse("n0", settings.toml()));
    threads.start();
    scheduler.start();
    server =
        CallerServer.start(
            file,
            GatewayMetrics.create(),
            threads,
            scheduler,
            CallerHeaders.create(),
            HeldBytes.countOnly(Long.MAX_VALUE),
            events::add,
            event -> {},
            ListenerBinder.create(event -> {}, () -> false));
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
    scheduler.stop();
    threads.stop();
  }

  /**
   * Guards against the node ending once its core has nothing in flight although a response is only
   * partly written, with or without time to wait for it before the other requests are failed.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 60})
  void wholeAnswerToOneSlowCallerIsDeliveredBeforeTheNodeEnds(long waitSeconds) throws Exception {
    try (Socket caller = connect()) {
      CallerExchange exchange = request(caller);
      server.closeAfterAnswers();
      exchange.addAttempt(1);
      assertThat(exchange.sendAnswer(200, HttpFields.EMPTY, new byte[ANSWER_BYTES])).isTrue();
      Thread end = Thread.startVirtualThread(() -> end(server, Duration.ofSeconds(waitSeconds)));
      assertThat(readAll(caller.getInputStream())).isAtLeast(ANSWER_BYTES);
      end.join();
    }
  }

  /** Guards against an aborted stream whose end looks like that of a complete one. */
  @ParameterizedTest
  @ValueSource(strings = {"", "P", POST_HEAD + "body"})
  void abortedStreamWithoutChunksIsReset(String sentAfter) throws Exception {
    try (Socket caller = connect()) {
      caller.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
      CallerExchange exchange = request(caller, HttpVersion.HTTP_1_0);
      exchange.addAttempt(1);
      byte[] event = "id: 1\ndata: x\n\n".getBytes(UTF_8);
      assertThat(exchange.relay(1, 200, HttpFields.EMPTY, event, Callback.NOOP))
          .isEqualTo(CallerExchange.RelayResult.WRITTEN);
      caller.getOutputStream().write(sentAfter.getBytes(UTF_8));
      exchange.abort();
      assertThrows(SocketException.class, () -> readAll(caller.getInputStream()));
    }
  }

  /** Guards against an answer that is lost because its connection is closed with unread bytes. */
  @ParameterizedTest
  @ValueSource(strings = {"", "P", "POST /order/1 HTTP/1.1\r\nHost", POST_HEAD, POST_HEAD + "body"})
  void wholeAnswerIsDeliveredToSlowCallerThatSentMore(String sentAfter) throws Exception {
    List<Socket> callers = new ArrayList<>();
    try {
      for (int i = 0; i < CALLERS; i++) {
        Socket caller = connect();
        callers.add(caller);
        caller.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
        CallerExchange exchange = request(caller);
        exchange.closeAfterAnswer();
        caller.getOutputStream().write(sentAfter.getBytes(UTF_8));
        assertThat(exchange.sendAnswer(200, HttpFields.EMPTY, new byte[BUFFERED_BYTES])).isTrue();
        server.closeIdle();
      }
      for (Socket caller : callers) {
        assertThat(readAll(caller.getInputStream())).isAtLeast(BUFFERED_BYTES);
      }
    } finally {
      for (Socket caller : callers) {
        caller.close();
      }
    }
  }

  /**
   * Guards against connections being closed without a response if the core is stalled beyond the
   * drain limit.
   */
  @Test
  void requestThatItsCoreLeftGetsOneAnswerBeforeTheNodeEnds() throws Exception {
    try (Socket caller = connect()) {
      request(caller);
      Thread end = Thread.startVirtualThread(() -> end(server, Duration.ZERO));
      String answer = new String(caller.getInputStream().readAllBytes(), UTF_8);
      assertThat(answer).startsWith("HTTP/1.1 502 ");
      end.join();
    }
  }

  /**
   * Guards against a request left unanswered because it is read completely after its core stalled
   * or ended.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "POST /order/1 HTTP/1.1\r\nHost", POST_HEAD, POST_HEAD + "bo"})
  void requestReadAfterItsCoreEndedIsRefused(String sentBefore) throws Exception {
    byte[] post = (POST_HEAD + "body").getBytes(UTF_8);
    int bytesBefore = sentBefore.length();
    try (Socket caller = connect()) {
      caller.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
      caller.getOutputStream().write(post, 0, bytesBefore);
      server.closeAfterAnswers();
      server.failPending();
      caller.getOutputStream().write(post, bytesBefore, post.length - bytesBefore);
      String answer = new String(caller.getInputStream().readAllBytes(), UTF_8);
      assertThat(answer).startsWith("HTTP/1.1 503 ");
      assertThat(events).isEmpty();
    }
  }

  /** Guards against a new connection that is closed while its first request is on its way. */
  @Test
  void newConnectionIsNotClosedBeforeItsFirstRequest() throws Exception {
    try (Socket caller = connect()) {
      while (server.openConnections() == 0) {
        Thread.onSpinWait();
      }
      server.closeAfterAnswers();
      server.closeIdle();
      caller.getOutputStream().write((POST_HEAD + "body").getBytes(UTF_8));
      assertThat(events.poll(LIMIT.toSeconds(), SECONDS))
          .isInstanceOf(GatewayEvent.RequestArrived.class);
    }
  }

  private Socket connect() throws IOException {
    Socket caller = new Socket();
    caller.setReceiveBufferSize(RECEIVE_BYTES);
    caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), settings.callerPort()));
    return caller;
  }

  private CallerExchange request(Socket caller) throws IOException, InterruptedException {
    return request(caller, HttpVersion.HTTP_1_1);
  }

  private CallerExchange request(Socket caller, HttpVersion version)
      throws IOException, InterruptedException {
    String head =
        "GET /report/1 " + version + "\r\nHost: a\r\nX-Wisteriarail-Request-Id: r1\r\n\r\n";
    caller.getOutputStream().write(head.getBytes(UTF_8));
    GatewayEvent.RequestArrived arrived = (GatewayEvent.RequestArrived) events.take();
    return server.exchange(arrived.request().exchange()).orElseThrow();
  }

  /** Stops the callers' server in the same order as a node does. */
  private static void end(CallerServer server, Duration wait) {
    try {
      server.awaitAnswers(wait);
      server.failPending();
      server.closeConnections(LIMIT);
      server.close();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static int readAll(InputStream in) throws IOException {
    byte[] buffer = new byte[READ_BYTES];
    int read = 0;
    for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
      read += count;
      LockSupport.parkNanos(READ_PAUSE_NANOS);
    }
    return read;
  }
}
