package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the limit on held bytes with callers that do not read and runners that cut them off. */
class HeldBytesPathTest {

  private static final int EVENTS = 120;

  /** More in all than the socket buffers between a runner and a caller hold. */
  private static final int EVENT_BYTES = 100_000;

  private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

  /** Time for which a caller does not read; longer than a runner waits. */
  private static final long PAUSE_MILLIS = 4_000;

  /** Refusals that one request may get, and the pause after each: 5 s in all. */
  private static final int MAX_REFUSALS = 50;

  private static final int REFUSAL_PAUSE_MILLIS = 100;

  /** Time without progress of a write after which the runner cuts off the response. */
  private static final long RUNNER_LIMIT_MILLIS = 1_500;

  private static final int READ_TIMEOUT_MILLIS = 20_000;

  /** The end of a chunked response. */
  private static final String END = "\r\n0\r\n\r\n";

  private static final String DATA = "x".repeat(EVENT_BYTES);

  private final Map<String, Integer> attempts = new ConcurrentHashMap<>();
  private final AtomicInteger cutOff = new AtomicInteger();
  private volatile long runnerLimitMillis = RUNNER_LIMIT_MILLIS;

  /**
   * Guards against a runner cutting off a response because its caller pauses. Without the table the
   * runner is not read meanwhile, as before.
   */
  @ParameterizedTest
  @CsvSource({"'[memory]\nheld_megabytes = 64', false", "'', true"})
  void runnerIsReadWhileItsCallerPauses(String memory, boolean isCutOff) throws Exception {
    try (GatewayFleet fleet = GatewayFleet.startOneWith(memory);
        RawRunner runner = RawRunner.start(this::stream)) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("engines"));
      try (Socket socket = openStream(fleet, "slow")) {
        Thread.sleep(PAUSE_MILLIS);
        Answer answer = readAnswer(socket);
        if (answer.isComplete() || !isCutOff) {
          assertThat(answer).isEqualTo(new Answer(EVENTS, true));
        }
      }
    }
    assertThat(cutOff.get() > 0).isEqualTo(isCutOff);
  }

  /**
   * Guards against a full account that ends an accepted stream, leaves one without events or takes
   * new requests.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void fullAccountRefusesNewRequestsAndEndsNoStream(boolean chunked) throws Exception {
    runnerLimitMillis = Long.MAX_VALUE;
    List<Socket> slow = new ArrayList<>();
    try (GatewayFleet fleet = GatewayFleet.startOneWith("[memory]\nheld_megabytes = 1");
        RawRunner runner = RawRunner.start(this::stream)) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("engines"));
      for (int i = 0; i < 4; i++) {
        slow.add(openStream(fleet, "slow" + i));
      }
      AtomicReference<String> answer = new AtomicReference<>("");
      fleet.await(
          () -> {
            answer.set(headOfAnswerToUnsentBody(fleet, chunked));
            return answer.get().startsWith("HTTP/1.1 503");
          });
      String head = answer.get();
      assertThat(head).contains("X-Result-Code: WR-1008");
      assertThat(head).contains("Retry-After: 1.000");
      assertThat(head).contains("Connection: close");
      assertThat(slow.parallelStream().map(HeldBytesPathTest::readAnswer).distinct().toList())
          .containsExactly(new Answer(EVENTS, true));
      assertWithMessage("attempts").that(attempts).doesNotContainKey("unsent");
      assertThat(attempts.values()).containsExactly(1, 1, 1, 1);
      fleet.await(() -> send(fleet) == 200);
    }
  }

  /** Guards against the events that were buffered being taken for the whole answer. */
  @Test
  void responseThatBreaksWhileItIsBufferedNeverLooksComplete() throws Exception {
    try (GatewayFleet fleet = GatewayFleet.startOneWith("[memory]\nheld_megabytes = 64");
        RawRunner runner = RawRunner.start(this::streamHalf)) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("engines"));
      try (Socket socket = openStream(fleet, "slow")) {
        Thread.sleep(PAUSE_MILLIS);
        assertThat(readAnswer(socket).isComplete()).isFalse();
      }
    }
  }

  /** Guards against buffered responses that wait for each other's space, or end for lack of it. */
  @Test
  void bufferedResponsesBeyondTheLimitAllArrive() throws Exception {
    String body = "x".repeat(900_000);
    try (GatewayFleet fleet = GatewayFleet.startOneWith("[memory]\nheld_megabytes = 1");
        RawRunner runner = RawRunner.start(socket -> answerAtOnce(socket, body))) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("plain"));
      fleet.await(() -> lookup(fleet, "first").equals(body));
      assertThat(IntStream.range(0, 8).parallel().mapToObj(i -> lookup(fleet, "r" + i)).distinct())
          .containsExactly(body);
    }
  }

  /** Returns the body of an answer. A request that arrives at a full account is sent again. */
  private static String lookup(GatewayFleet fleet, String id) {
    try {
      for (int attempt = 0; ; attempt++) {
        var answer = fleet.send(0, "POST", "/lookup/1", "", id + "-" + attempt, "body");
        boolean refused =
            answer.headers().firstValue("X-Result-Code").filter("WR-1008"::equals).isPresent();
        if (!refused || attempt == MAX_REFUSALS) {
          return answer.body();
        }
        Thread.sleep(REFUSAL_PAUSE_MILLIS);
      }
    } catch (Exception failure) {
      return failure.toString();
    }
  }

  private static void answerAtOnce(Socket socket, String body) throws IOException {
    String id = RawRunner.readRequest(RawRunner.reader(socket));
    if (!id.isEmpty()) {
      socket.getOutputStream().write((head(id) + body).getBytes(US_ASCII));
      socket.shutdownOutput();
    }
  }

  // Callers

  private record Answer(int events, boolean isComplete) {}

  /** Sends requests until one is streamed, of which only the status line is read. */
  private static Socket openStream(GatewayFleet fleet, String id) throws IOException {
    while (true) {
      Socket socket = connect(fleet);
      socket.getOutputStream().write(request(id, 4, "body").getBytes(US_ASCII));
      if (readLine(socket.getInputStream()).startsWith("HTTP/1.1 200")) {
        return socket;
      }
      socket.close();
    }
  }

  /** Returns the answer's head; closes the connection without having sent the whole body. */
  private static String headOfAnswerToUnsentBody(GatewayFleet fleet, boolean chunked) {
    try (Socket socket = connect(fleet)) {
      socket.setSoTimeout(200);
      String whole = request("unsent", 50_000, "");
      String unsent =
          chunked
              ? whole.replace("Content-Length: 50000", "Transfer-Encoding: chunked")
                  + "c350\r\n"
                  + "x".repeat(40_000)
              : whole;
      socket.getOutputStream().write(unsent.getBytes(US_ASCII));
      StringBuilder head = new StringBuilder();
      InputStream in = socket.getInputStream();
      for (String line = readLine(in); !line.isBlank(); line = readLine(in)) {
        head.append(line).append('\n');
      }
      return head.toString();
    } catch (IOException accepted) {
      return "";
    }
  }

  private static int send(GatewayFleet fleet) {
    try (Socket socket = connect(fleet)) {
      socket.getOutputStream().write(request("later", 4, "body").getBytes(US_ASCII));
      return Integer.parseInt(readLine(socket.getInputStream()).split(" ", -1)[1]);
    } catch (IOException failure) {
      return 0;
    }
  }

  private static Socket connect(GatewayFleet fleet) throws IOException {
    var callers = fleet.node(0).file().callers();
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    socket.connect(new InetSocketAddress(callers.host(), callers.port()));
    return socket;
  }

  private static String request(String id, int length, String body) {
    return "POST /survey/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nContent-Length: "
        + length
        + "\r\nX-Wisteriarail-Model: m0\r\nX-Wisteriarail-Deadline-Ms: 25000\r\n"
        + "X-Wisteriarail-Request-Id: "
        + id
        + "\r\n\r\n"
        + body;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      line.append((char) next);
    }
    return line.toString();
  }

  /** Reads to the end of the connection, and tells whether the last chunk arrived. */
  private static Answer readAnswer(Socket socket) {
    long bytesOfX = 0;
    StringBuilder tail = new StringBuilder();
    byte[] buffer = new byte[RECEIVE_BUFFER_BYTES];
    try (socket) {
      InputStream in = socket.getInputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        for (int i = 0; i < read; i++) {
          bytesOfX += buffer[i] == 'x' ? 1 : 0;
        }
        tail.append(new String(buffer, 0, read, US_ASCII));
        tail.delete(0, Math.max(0, tail.length() - END.length()));
      }
    } catch (IOException reset) {
      tail.setLength(0);
    }
    return new Answer((int) (bytesOfX / EVENT_BYTES), tail.toString().equals(END));
  }

  // Runners

  private void stream(Socket socket) throws IOException {
    answer(socket, EVENTS);
    socket.shutdownOutput();
  }

  /** Resets the connection within the answer. */
  private void streamHalf(Socket socket) throws IOException {
    answer(socket, EVENTS / 2);
    socket.setSoLinger(true, 0);
  }

  private void answer(Socket socket, int events) throws IOException {
    String id = RawRunner.readRequest(RawRunner.reader(socket));
    if (id.isEmpty()) {
      return;
    }
    attempts.merge(id, 1, Integer::sum);
    AtomicLong lastWrite = new AtomicLong(System.nanoTime());
    Thread watch = Thread.startVirtualThread(() -> cutOffIfUnread(socket, lastWrite));
    try {
      OutputStream out = socket.getOutputStream();
      out.write(head(id).getBytes(US_ASCII));
      for (int i = 1; i <= events; i++) {
        out.write(("id: " + i + "\ndata: " + DATA + "\n\n").getBytes(US_ASCII));
        lastWrite.set(System.nanoTime());
      }
    } finally {
      watch.interrupt();
    }
  }

  private static String head(String id) {
    return "HTTP/1.1 200 OK\r\nX-Wisteriarail-Request-Id: "
        + id
        + "\r\nX-Wisteriarail-Response-Signature: s\r\nConnection: close\r\n\r\n";
  }

  private void cutOffIfUnread(Socket socket, AtomicLong lastWrite) {
    try {
      while (System.nanoTime() - lastWrite.get() < runnerLimitMillis * 1_000_000.0) {
        Thread.sleep(20);
      }
      cutOff.incrementAndGet();
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (InterruptedException written) {
      Thread.currentThread().interrupt();
    } catch (IOException closed) {
      // The node closed the connection at the same time.
    }
  }
}
