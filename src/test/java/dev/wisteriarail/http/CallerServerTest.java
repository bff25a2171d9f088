package dev.wisteriarail.http;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.LoadTimes;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.request.Refusal;
import dev.wisteriarail.core.request.RequestOutcome;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.runtime.ListenerBinder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CallerServerTest {

  private static final HttpLimits LIMITS =
      new HttpLimits(1_000, 4_096, Duration.ofSeconds(10), Duration.ofSeconds(10), 1);
  private static final String AUTHORIZED = "Authorization: Bearer secret\r\n";

  private final ExchangeTable exchanges = ExchangeTable.create(event -> {});
  private CallerServer server;

  @BeforeEach
  void startServer() throws SettingsException {
    NodeContext context =
        new NodeContext(
            NodeId.of("n1"),
            Incarnation.of(1),
            CallerServerTest::configuration,
            () -> false,
            this::answerAtOnce,
            InstantSource.fixed(Instant.EPOCH));
    server =
        CallerServer.start(
            "127.0.0.1",
            0,
            LIMITS,
            context,
            exchanges,
            NodeMetrics.create(),
            ListenerBinder.create(event -> {}, () -> false));
  }

  @AfterEach
  void stopServer() {
    server.close();
  }

  @ParameterizedTest
  @CsvSource({
    "GET /nowhere, '', '', 404, WR-1004",
    "GET /v1/completions, '', '', 405, WR-1005",
    "POST /v1/completions, '', '{}', 401, WR-1101",
    "POST /v1/completions, 'Authorization: Basic x\r\n', '{}', 401, WR-1101",
    "POST /v1/completions, A, 'not json', 400, WR-1001",
    "POST /v1/completions, A, '[1]', 400, WR-1001",
    "POST /v1/completions, A, '{}', 400, WR-1001",
    "POST /v1/completions, A, '{\"model\":\"m1:\"}', 400, WR-1001",
    "POST /v1/completions, A X-Priority: never, '{\"model\":\"m1\"}', 400, WR-1001",
    "POST /v1/completions, A X-Deadline-Ms: soon, '{\"model\":\"m1\"}', 400, WR-1001",
    "POST /v1/completions, A X-Deadline-Ms: -5, '{\"model\":\"m1\"}', 400, WR-1001",
    "GET /services/, A, '', 404, WR-1105",
  })
  void badCallGetsNumberedProblem(String line, String headers, String body, int status, String code)
      throws IOException {
    String expandedHeaders =
        headers.startsWith("A") && !headers.startsWith("Auth") ? expand(headers) : headers;
    String answer = call(line, expandedHeaders, body);
    assertThat(answer).startsWith("HTTP/1.1 " + status);
    assertThat(answer).contains(code);
    assertThat(answer).contains("\"execution\":\"not run\"");
  }

  @Test
  void bodyOverTheLimitIsRefusedBeforeItIsRead() throws IOException {
    String answer = call("POST /v1/completions", AUTHORIZED, "x".repeat(1_001));
    assertThat(answer).startsWith("HTTP/1.1 413");
    assertThat(answer).contains("WR-1002");
  }

  @Test
  void headerOverTheLimitGetsNumberedProblem() throws IOException {
    String answer = call("GET /v1/models", "X-Long: " + "x".repeat(5_000) + "\r\n", "");
    assertThat(answer).startsWith("HTTP/1.1 431");
    assertThat(answer).contains("WR-1006");
  }

  @Test
  void customerSeesOnlyItsOwnModels() throws IOException {
    String answer = call("GET /v1/models", AUTHORIZED, "");
    assertThat(answer).contains("\"m1\"");
    assertThat(answer).doesNotContain("\"m2\"");
  }

  @Test
  void completionCarriesTheWholeAnswer() throws IOException {
    String answer = call("POST /v1/chat/completions", AUTHORIZED, "{\"model\":\"m1\"}");
    assertThat(answer).startsWith("HTTP/1.1 200");
    assertThat(answer).contains("\"content\":\"one two\"");
  }

  @Test
  void streamEndsWithDone() throws IOException {
    String answer = call("POST /v1/completions", AUTHORIZED, "{\"model\":\"m1\",\"stream\":true}");
    assertThat(answer).contains("data: [DONE]");
  }

  @Test
  void cutStreamIsVisiblyIncomplete() throws IOException {
    String answer = call("POST /v1/completions", AUTHORIZED, "{\"model\":\"cut\",\"stream\":true}");
    assertThat(answer).contains("event: error");
    assertThat(answer).contains("WR-1403");
    assertThat(answer).doesNotContain("[DONE]");
    assertThat(answer).doesNotContain("\r\n0\r\n");
  }

  @Test
  void refusalTellsWhenToComeBack() throws IOException {
    String answer = call("POST /v1/completions", AUTHORIZED, "{\"model\":\"refused\"}");
    assertThat(answer).startsWith("HTTP/1.1 503");
    assertThat(answer).contains("Retry-After: 2");
  }

  @Test
  void nodeAtItsLimitRefusesAnotherRequest() throws IOException {
    exchanges.open(RequestId.of("other"));
    String answer = call("POST /v1/completions", AUTHORIZED, "{\"model\":\"m1\"}");
    assertThat(answer).contains("WR-1007");
  }

  // Helpers

  private void answerAtOnce(Event event) {
    if (!(event instanceof Event.RequestArrived arrived)) {
      return;
    }
    RequestId id = arrived.request().id();
    String body = arrived.request().body();
    if (body.contains("refused")) {
      end(id, Refusal.notRun(ResultCode.NO_CAPACITY, "full", Duration.ofMillis(1_500)));
      return;
    }
    exchanges.sendChunk(new Effect.AnswerChunk(id, 0, "one"));
    if (body.contains("cut")) {
      end(id, Refusal.outcomeUnknown(ResultCode.ANSWER_INCOMPLETE, "cut"));
      return;
    }
    exchanges.sendChunk(new Effect.AnswerChunk(id, 1, " two"));
    exchanges.end(new Effect.EndRequest(id, new RequestOutcome.Completed(200)));
  }

  private void end(RequestId id, Refusal refusal) {
    exchanges.end(new Effect.EndRequest(id, new RequestOutcome.Refused(refusal)));
  }

  private static String expand(String headers) {
    String otherHeaders = headers.substring(1).strip();
    return otherHeaders.isEmpty() ? AUTHORIZED : AUTHORIZED + otherHeaders + "\r\n";
  }

  private String call(String line, String headers, String body) throws IOException {
    String request =
        line
            + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n"
            + headers
            + "Content-Length: "
            + body.getBytes(UTF_8).length
            + "\r\n\r\n"
            + body;
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.getOutputStream().write(request.getBytes(UTF_8));
      return readAll(socket);
    }
  }

  private static String readAll(Socket socket) throws IOException {
    StringBuilder answer = new StringBuilder();
    byte[] buffer = new byte[4_096];
    try {
      int count = socket.getInputStream().read(buffer);
      while (count >= 0) {
        answer.append(new String(buffer, 0, count, UTF_8));
        count = socket.getInputStream().read(buffer);
      }
    } catch (IOException reset) {
      answer.append("(reset)");
    }
    return answer.toString();
  }

  private static Configuration configuration() {
    LoadTimes times = new LoadTimes(Duration.ZERO, Duration.ZERO, Duration.ZERO);
    CustomerId customer = CustomerId.of("c1");
    String hash = Authenticator.hash("secret");
    return Configuration.merge(
        Revision.of(1),
        List.of(
            new Section(
                "test",
                Optional.empty(),
                List.of(
                    new ModelSpec(ModelId.of("m1"), customer, "v1", 1, 1, 1, times, List.of()),
                    new ModelSpec(
                        ModelId.of("m2"), CustomerId.of("c2"), "v1", 1, 1, 1, times, List.of())),
                List.of(),
                List.of(new CustomerSpec(customer, List.of(hash), 1, 1, 1, 1, 1)),
                List.of(),
                List.of(),
                List.of())));
  }
}
