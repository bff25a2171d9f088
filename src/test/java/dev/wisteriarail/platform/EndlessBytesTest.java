package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.US_ASCII;

import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.gateway.StoreRead;
import dev.wisteriarail.gateway.GatewayHttp;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests a faulty runner or store that sends bytes without end instead of a valid response. The
 * caller must get an error in time, the node must read a bounded number of bytes, and the
 * connection must not be used again.
 */
class EndlessBytesTest {

  /** Bytes that a node may accept of such a response, including the buffers of both sockets. */
  private static final long MAX_BYTES = 32L * 1024 * 1024;

  /** The caller's deadline of five seconds plus a margin for a busy machine. */
  private static final Duration MAX_TIME = Duration.ofSeconds(12);

  private static final int LOOKUPS = 8;

  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

  /** The part of the response that never ends. */
  enum EndlessPart {
    STATUS_LINE("HTTP/1.1 200 ", "O", false),
    NO_PROTOCOL("", "\0", false),
    HEADER_LINES("HTTP/1.1 200 OK\r\n", "X-More: bytes\r\n", false),
    HEADER_LINE("HTTP/1.1 200 OK\r\nX-More: ", "x", false),
    INTERIM_HEADS("", "HTTP/1.1 100 Continue\r\n\r\n", false),
    BODY_WITHOUT_LENGTH("", "x", true),
    BODY_CHUNKS("", "1\r\nx\r\n", true),
    CHUNK_SIZE("", "0", true),
    CHUNK_EXTENSION("1;a=", "x", true),
    TRAILER("1\r\nx\r\n0\r\n", "X-More: bytes\r\n", true),
    EVENT("", "data: x\n", true);

    private final String before;
    private final String repeated;
    private final boolean afterHead;

    EndlessPart(String before, String repeated, boolean afterHead) {
      this.before = before;
      this.repeated = repeated;
      this.afterHead = afterHead;
    }

    private String start(String request) {
      if (!afterHead) {
        return before;
      }
      String framing = isUnframed() ? "Connection: close\r\n\r\n" : CHUNKED;
      return "HTTP/1.1 200 OK\r\nX-Wisteriarail-Request-Id: "
          + request
          + "\r\nX-Wisteriarail-Response-Signature: s\r\n"
          + framing
          + before;
    }

    private boolean isUnframed() {
      return this == BODY_WITHOUT_LENGTH || this == EVENT;
    }
  }

  @ParameterizedTest
  @EnumSource(EndlessPart.class)
  void callerGetsAnErrorAndTheNodeStopsTaking(EndlessPart place) throws Exception {
    AtomicLong written = new AtomicLong();
    AtomicInteger requests = new AtomicInteger();
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner runner =
            RawRunner.start(socket -> answerEndlessly(socket, place, written, requests))) {
      boolean stream = place == EndlessPart.EVENT;
      fleet
          .platform()
          .store()
          .put("keyed.servers", "raw", runner.directoryEntry(stream ? "engines" : "plain"));
      long startedAt = System.nanoTime();
      int status = 503;
      while (status == 503 && requests.get() == 0) {
        startedAt = System.nanoTime();
        status = sendRequest(fleet, stream);
      }
      Duration elapsed = Duration.ofNanos(System.nanoTime() - startedAt);
      assertWithMessage(place.name()).that(status).isAnyOf(502, 504, 0);
      assertThat(elapsed).isLessThan(MAX_TIME);
      assertThat(requests.get()).isEqualTo(1);
      assertThat(written.get()).isLessThan(MAX_BYTES);
    }
  }

  /** Sends a request and returns the response's status; 0 if the response was aborted. */
  private static int sendRequest(GatewayFleet fleet, boolean stream) throws Exception {
    try {
      HttpResponse<String> answer =
          stream ? fleet.send(0, "POST", "/report/1", "m0") : fleet.send(0, "POST", "/order/1", "");
      return answer.statusCode();
    } catch (IOException cut) {
      return 0;
    }
  }

  /** Covers store responses; runner reports are read with the same client and limits. */
  @ParameterizedTest
  @EnumSource(value = EndlessPart.class, mode = EnumSource.Mode.EXCLUDE, names = "EVENT")
  void callsForControlFailInTime(EndlessPart place) throws Exception {
    AtomicLong written = new AtomicLong();
    QueuedThreadPool threads = new QueuedThreadPool();
    Scheduler scheduler = new ScheduledExecutorScheduler();
    threads.start();
    scheduler.start();
    HttpClient http = GatewayHttp.start(threads, scheduler, MAX_TIME.toMillis(), true);
    AtomicInteger requests = new AtomicInteger();
    try (RawRunner store =
        RawRunner.start(socket -> answerEndlessly(socket, place, written, requests))) {
      HttpPlatformClient calls = HttpPlatformClient.create(http, "127.0.0.1:" + store.port());
      CompletableFuture<StoreAnswer> answer = new CompletableFuture<>();
      calls.readStore(new StoreRead.WholeDirectory(), answer::complete);
      assertThat(answer.get(MAX_TIME.toSeconds(), TimeUnit.SECONDS))
          .isInstanceOf(StoreAnswer.Failed.class);
      assertThat(written.get()).isLessThan(MAX_BYTES);
    } finally {
      http.stop();
      scheduler.stop();
      threads.stop();
    }
  }

  /**
   * Bytes between two responses belong to no request: the connection must be closed and others be
   * used. A request that was sent on it at the same time has an unknown outcome.
   */
  @Test
  void bytesBetweenRequestsEndTheConnection() throws Exception {
    AtomicLong mostWritten = new AtomicLong();
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner runner =
            RawRunner.start(socket -> answerThenWriteEndlessly(socket, mostWritten))) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("plain"));
      fleet.await(() -> lookup(fleet) == 200);
      int served = 0;
      for (int i = 0; i < LOOKUPS; i++) {
        int status = lookup(fleet);
        assertThat(status).isAnyOf(200, 502, 504);
        served += status == 200 ? 1 : 0;
      }
      assertThat(served).isAtLeast(1);
      assertThat(mostWritten.get()).isLessThan(MAX_BYTES);
    }
  }

  private static int lookup(GatewayFleet fleet) {
    try {
      HttpResponse<String> answer = fleet.send(0, "GET", "/lookup/1", "");
      if (answer.statusCode() == 200) {
        assertThat(answer.body()).isEqualTo("whole");
      }
      return answer.statusCode();
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  private static void answerEndlessly(
      Socket socket, EndlessPart place, AtomicLong written, AtomicInteger requests)
      throws IOException {
    String request = RawRunner.readRequest(RawRunner.reader(socket));
    requests.addAndGet(request.isEmpty() ? 0 : 1);
    OutputStream out = socket.getOutputStream();
    out.write(place.start(request).getBytes(US_ASCII));
    writeRepeatedly(out, place.repeated, written);
  }

  private static void answerThenWriteEndlessly(Socket socket, AtomicLong mostWritten)
      throws IOException {
    String request = RawRunner.readRequest(RawRunner.reader(socket));
    if (request.isEmpty()) {
      return;
    }
    AtomicLong written = new AtomicLong();
    try {
      String answer =
          "HTTP/1.1 200 OK\r\nX-Wisteriarail-Request-Id: "
              + request
              + "\r\nX-Wisteriarail-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwhole";
      socket.getOutputStream().write(answer.getBytes(US_ASCII));
      socket.getOutputStream().flush();
      String more = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
      writeRepeatedly(socket.getOutputStream(), more, written);
    } finally {
      mostWritten.accumulateAndGet(written.get(), Math::max);
    }
  }

  private static void writeRepeatedly(OutputStream out, String text, AtomicLong written)
      throws IOException {
    byte[] bytes = text.repeat(4_000).getBytes(US_ASCII);
    while (written.get() < 2 * MAX_BYTES) {
      out.write(bytes);
      written.addAndGet(bytes.length);
    }
  }
}
