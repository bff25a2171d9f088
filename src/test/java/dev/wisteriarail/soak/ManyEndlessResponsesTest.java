package dev.wisteriarail.soak;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import dev.wisteriarail.KnownRedCondition;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.platform.RawRunner;
import dev.wisteriarail.standin.LoopbackSettings;
import dev.wisteriarail.standin.PlatformStandin;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests many runners at once that send bytes without end to one node with the usual small heap.
 * Each response is within its own limit, but the sum exhausted the memory, and with it the requests
 * of other callers ended.
 */
@ExtendWith(KnownRedCondition.class)
class ManyEndlessResponsesTest {

  private static final int FAULTY_RUNNERS = 60;
  private static final int CALLERS = 240;
  private static final int SOUND_REQUESTS = 20;
  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final String REPORT_PATH = "/wisteriarail/report";

  /** What does not end, and which service its runners belong to. */
  enum EndlessPart {
    HEADER_LINE("plain", "HTTP/1.1 200 OK\r\nX-More: ", "x".repeat(1_000)),
    BODY("plain", head("Content-Length: 100000000000"), "x".repeat(1_000)),
    TINY_CHUNKS("plain", head("Transfer-Encoding: chunked"), "1\r\nx\r\n".repeat(200)),
    FAILURE_BODY("plain", head("Connection: close").replace("200", "500"), "x".repeat(1_000)),
    EVENT("engines", head("Transfer-Encoding: chunked"), "5\r\ndata:\r\n".repeat(100)),
    REPORT_BODY("engines", "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", "x".repeat(1_000)),
    REPORT_TINY_CHUNKS(
        "engines",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1\r\nx\r\n".repeat(200));

    private final String service;
    private final String start;
    private final String repeated;

    EndlessPart(String service, String start, String repeated) {
      this.service = service;
      this.start = start;
      this.repeated = repeated;
    }

    private static String head(String framing) {
      return "HTTP/1.1 200 OK\r\nX-Wisteriarail-Request-Id: %s\r\n"
          + "X-Wisteriarail-Response-Signature: s\r\n"
          + framing
          + "\r\n\r\n";
    }

    private boolean isReport() {
      return this == REPORT_BODY || this == REPORT_TINY_CHUNKS;
    }
  }

  @TempDir private Path directory;
  private final HttpClient http = HttpClient.newHttpClient();
  private final AtomicInteger requests = new AtomicInteger();
  private PlatformStandin platform;
  private LoopbackSettings settings;
  private NodeProcess node;

  @BeforeEach
  void startPlatform() throws Exception {
    platform = PlatformStandin.start(1, 1);
    settings = LoopbackSettings.of("n0", platform.store().address());
  }

  private void startNode(String furtherSettings) throws Exception {
    node = NodeProcess.create("n0", settings.toml() + furtherSettings, directory);
    node.start(Duration.ZERO);
    NodeEvents.await(node, EventCode.NODE_READY);
  }

  @AfterEach
  void end() throws Exception {
    node.kill();
    platform.close();
    http.close();
  }

  @ParameterizedTest
  @EnumSource(
      value = EndlessPart.class,
      mode = EnumSource.Mode.EXCLUDE,
      names = {"TINY_CHUNKS", "EVENT"})
  void othersAreServedAndTheNodeLives(EndlessPart part) throws Exception {
    startNode("");
    checkOthersAreServed(part);
  }

  /** The same for responses that cost a node much processor time to parse. */
  @ParameterizedTest
  @EnumSource(
      value = EndlessPart.class,
      names = {"TINY_CHUNKS", "EVENT"})
  void othersAreServedBesideSmallChunks(EndlessPart part) throws Exception {
    startNode("");
    checkOthersAreServed(part);
  }

  @Test
  void othersAreServedWhereHeldBytesAreLimited() throws Exception {
    startNode("\n[memory]\nenabled = true\n");
    checkOthersAreServed(EndlessPart.BODY);
  }

  private void checkOthersAreServed(EndlessPart part) throws Exception {
    boolean soundIsPlain = part.service.equals("engines");
    awaitServed(soundIsPlain);
    try (RawRunner runner = RawRunner.start(socket -> serve(socket, part))) {
      for (int i = 0; i < FAULTY_RUNNERS; i++) {
        platform.store().put("keyed.servers", "raw-" + i, runner.directoryEntry(part.service));
      }
      List<Thread> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS && !part.isReport(); i++) {
        callers.add(Thread.ofVirtual().start(() -> resultOf(!soundIsPlain)));
      }
      List<String> results = new ArrayList<>();
      for (int i = 0; i < SOUND_REQUESTS; i++) {
        results.add(resultOf(soundIsPlain));
        Thread.sleep(100);
      }
      for (Thread caller : callers) {
        caller.join();
      }
      String log = Files.readString(directory.resolve("n0.log"));
      assertThat(node.isAlive()).isTrue();
      assertThat(log).doesNotContain("OutOfMemoryError");
      assertThat(results.stream().filter(result -> !result.equals("200")).toList()).isEmpty();
    }
  }

  private void awaitServed(boolean plain) throws Exception {
    long until = System.nanoTime() + LIMIT.toNanos();
    while (send(plain) != 200) {
      assertThat(System.nanoTime()).isLessThan(until);
      Thread.sleep(50);
    }
  }

  /** Returns the status of the response to a request, or why there is no complete response. */
  private String resultOf(boolean plain) {
    try {
      return String.valueOf(send(plain));
    } catch (IOException | InterruptedException cut) {
      return cut.toString();
    }
  }

  private int send(boolean plain) throws IOException, InterruptedException {
    URI uri =
        URI.create(
            "http://127.0.0.1:" + settings.callerPort() + (plain ? "/lookup/1" : "/report/1"));
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri)
            .header("X-Wisteriarail-Request-Id", "r" + requests.incrementAndGet())
            .header("X-Wisteriarail-Deadline-Ms", "5000")
            .timeout(LIMIT);
    if (!plain) {
      request.header("X-Wisteriarail-Model", "m0").POST(HttpRequest.BodyPublishers.ofString("p"));
    }
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString()).statusCode();
  }

  private static void serve(Socket socket, EndlessPart part) throws IOException {
    BufferedReader in = RawRunner.reader(socket);
    OutputStream out = socket.getOutputStream();
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      boolean report = line.contains(REPORT_PATH);
      String id = RawRunner.readRequest(in);
      if (report == part.isReport()) {
        out.write(part.start.formatted(id).getBytes(US_ASCII));
        byte[] repeated = part.repeated.getBytes(US_ASCII);
        while (true) {
          out.write(repeated);
        }
      }
      out.write("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n".getBytes(US_ASCII));
    }
  }
}
