package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that responses of faulty runners are neither believed nor passed off as whole. */
class FaultyAnswerTest {

  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);
  private static final String NOT_EXECUTED = "X-Wisteriarail-Not-Executed: 1\r\n";
  private static final String SIGNATURE = "X-Wisteriarail-Response-Signature: s\r\n";

  private final Set<String> executed = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean refused = new AtomicBoolean();

  private static String id(String request) {
    return "X-Wisteriarail-Request-Id: " + request + "\r\n";
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(US_ASCII));
    socket.getOutputStream().flush();
  }

  private static HttpResponse<String> send(
      GatewayFleet fleet, String method, String path, String model, String request) {
    try {
      return fleet.send(0, method, path, model, request, "");
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  // Refusals

  /** REFUSED, TWICE: a refusal was repeated on a kept connection and answered the next request. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void repeatedRefusalIsNotBelievedOfTheNextRequest(boolean named) throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner runner = RawRunner.start(socket -> refuseThenRepeat(socket, named))) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("plain"));
      while (executed.isEmpty()) {
        refused.set(false);
        CompletableFuture<Void> earlier =
            CompletableFuture.runAsync(() -> checkRefusal(fleet, "earlier" + System.nanoTime()));
        fleet.await(() -> refused.get() || earlier.isDone());
        checkRefusal(fleet, "next" + System.nanoTime());
        earlier.join();
      }
    }
  }

  private void checkRefusal(GatewayFleet fleet, String request) {
    int status = send(fleet, "GET", "/lookup/1", "", request).statusCode();
    if (NOT_RUN.contains(status)) {
      assertThat(executed).doesNotContain(request);
    }
  }

  /** Refuses the first request of a connection; runs the next one and repeats the refusal. */
  private void refuseThenRepeat(Socket socket, boolean named) throws IOException {
    BufferedReader in = RawRunner.reader(socket);
    String first = RawRunner.readRequest(in);
    String head = "HTTP/1.1 503 Busy\r\n" + NOT_EXECUTED + "Content-Length: 0\r\n";
    write(socket, head + id(first) + "\r\n");
    refused.set(true);
    String next = RawRunner.readRequest(in);
    while (!next.isEmpty()) {
      executed.add(next);
      write(socket, head + (named ? id(first) : "") + "\r\n");
      next = RawRunner.readRequest(in);
    }
  }

  /** A refusal without an identifier is believed as the first response on a connection. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void refusalOnOneNewConnectionIsBelieved(boolean named) throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner runner = RawRunner.start(socket -> refuse(socket, named))) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("plain"));
      fleet.await(() -> lookup(fleet) == 503 && refused.get());
    }
  }

  private static int lookup(GatewayFleet fleet) {
    return send(fleet, "GET", "/lookup/1", "", "l" + System.nanoTime()).statusCode();
  }

  private void refuse(Socket socket, boolean named) throws IOException {
    String request = RawRunner.readRequest(RawRunner.reader(socket));
    refused.set(true);
    write(
        socket,
        "HTTP/1.1 503 Busy\r\n"
            + NOT_EXECUTED
            + (named ? id(request) : "")
            + "Connection: close\r\nContent-Length: 0\r\n\r\n");
  }

  // Heads

  /** MIXED, ORDER: a head that broke off was passed on as an empty or short 200. */
  @ParameterizedTest
  @CsvSource({
    "lookup, 0",
    "lookup, 1",
    "lookup, 2",
    "lookup, 3",
    "lookup, 4",
    "report, 1",
    "report, 2",
    "report, 3",
    "report, 4",
    "chat, 3",
    "chat, 4"
  })
  void headThatBreaksOffIsNoAnswer(String route, int lines) throws Exception {
    boolean stream = !route.equals("lookup");
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner runner = RawRunner.start(socket -> breakOffHead(socket, lines))) {
      fleet
          .platform()
          .store()
          .put("keyed.servers", "raw", runner.directoryEntry(stream ? "engines" : "plain"));
      fleet.await(
          () -> {
            String request = "h" + System.nanoTime();
            int status =
                send(
                        fleet,
                        stream ? "POST" : "GET",
                        "/" + route + "/1",
                        stream ? "m0" : "",
                        request)
                    .statusCode();
            assertThat(status).isNotEqualTo(200);
            return executed.contains(request) && status == 502;
          });
    }
  }

  private void breakOffHead(Socket socket, int lines) throws IOException {
    String request = RawRunner.readRequest(RawRunner.reader(socket));
    executed.add(request);
    String[] head = {
      "HTTP/1.1 200 OK\r\n", id(request), SIGNATURE, "Content-Type: text/event-stream\r\n"
    };
    StringBuilder begun = new StringBuilder();
    for (int i = 0; i < lines; i++) {
      begun.append(head[i]);
    }
    write(socket, begun + (lines == head.length ? "" : head[lines].substring(0, 5)));
  }

  // Streams

  /** ORDER, MIXED: an error of the next runner ended up in the middle of a stream. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 500 Error\r\n" + SIGNATURE,
        "HTTP/1.1 500 Error\r\n",
        "HTTP/1.1 400 Bad\r\n" + SIGNATURE,
        "HTTP/1.1 503 Busy\r\n" + NOT_EXECUTED,
        "HTTP/1.1 200 OK\r\n"
      })
  void errorOfTheNextRunnerIsNoPartOfOneBegunStream(String errorHead) throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner one = RawRunner.start(socket -> beginOrFail(socket, errorHead));
        RawRunner two = RawRunner.start(socket -> beginOrFail(socket, errorHead))) {
      fleet.platform().store().put("keyed.servers", "one", one.directoryEntry("engines"));
      fleet.platform().store().put("keyed.servers", "two", two.directoryEntry("engines"));
      fleet.await(
          () -> {
            String request = "s" + System.nanoTime();
            String received = receive(fleet, "/chat/1", request);
            if (!received.startsWith("HTTP/1.1 200")) {
              return false;
            }
            assertThat(received).contains("id: 2\n");
            assertThat(received).doesNotContain("error-text");
            assertThat(received.indexOf("HTTP/1.1", 1)).isEqualTo(-1);
            assertThat(received).doesNotContain("\r\n0\r\n");
            return executed.contains("failed " + request);
          });
    }
  }

  private void beginOrFail(Socket socket, String errorHead) throws IOException {
    BufferedReader in = RawRunner.reader(socket);
    boolean resumed = false;
    String request = "";
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      resumed |= line.startsWith("Last-Event-Id");
      request = line.startsWith("X-Wisteriarail-Request-Id: ") ? line.substring(27) : request;
    }
    if (resumed) {
      executed.add("failed " + request);
      write(socket, errorHead + id(request) + "Content-Length: 10\r\n\r\nerror-text");
    } else {
      write(socket, streamHead(request) + "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3");
      socket.setSoLinger(true, 0);
    }
  }

  private static String streamHead(String request) {
    return "HTTP/1.1 200 OK\r\n"
        + id(request)
        + SIGNATURE
        + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
  }

  /** Sends a request on a connection of its own; returns all bytes until the connection ends. */
  private static String receive(GatewayFleet fleet, String path, String request) {
    var at = fleet.node(0).file().callers();
    try (Socket socket = new Socket(at.host(), at.port())) {
      socket.setSoTimeout(10_000);
      write(
          socket,
          "POST "
              + path
              + " HTTP/1.1\r\nHost: 127.0.0.1\r\n"
              + id(request)
              + "X-Wisteriarail-Model: m0\r\nX-Wisteriarail-Deadline-Ms: 5000\r\n"
              + "Connection: close\r\nContent-Length: 0\r\n\r\n");
      StringBuilder received = new StringBuilder();
      try {
        int next = socket.getInputStream().read();
        while (next >= 0) {
          received.append((char) next);
          next = socket.getInputStream().read();
        }
      } catch (IOException reset) {
        received.append("(reset)");
      }
      return received.toString();
    } catch (IOException failure) {
      throw new AssertionError(failure);
    }
  }

  /** A stream without length or chunks ends with its connection; one inside an event broke off. */
  @ParameterizedTest
  @CsvSource({
    "report, '', false, true",
    "report, 'id: 3', false, false",
    "report, 'id: 3\ndata: c\n', false, false",
    "report, '', true, false",
    "chat, '', false, true",
    "chat, 'id: 3', false, false"
  })
  void streamWithoutLengthIsWholeOnlyIfItEndsAfterOneEvent(
      String route, String rest, boolean reset, boolean whole) throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner runner = RawRunner.start(socket -> stream(socket, rest, reset))) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("engines"));
      fleet.await(
          () -> {
            String received = receive(fleet, "/" + route + "/1", "u" + System.nanoTime());
            if (!received.startsWith("HTTP/1.1 200")) {
              return false;
            }
            assertThat(received).contains("id: 2\n");
            assertThat(received).doesNotContain("id: 3");
            assertThat(received.endsWith("0\r\n\r\n")).isEqualTo(whole);
            return true;
          });
    }
  }

  private static void stream(Socket socket, String rest, boolean reset)
      throws IOException, InterruptedException {
    String request = RawRunner.readRequest(RawRunner.reader(socket));
    write(socket, streamHead(request) + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" + rest);
    if (reset) {
      Thread.sleep(200);
      socket.setSoLinger(true, 0);
    }
  }
}
