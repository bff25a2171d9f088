package dev.wisteriarail.engine;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.id.ServiceId;
import dev.wisteriarail.core.request.AttemptOutcome;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.Target;
import dev.wisteriarail.logservice.HttpClients;
import dev.wisteriarail.spi.AttemptListener;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an attempt on a silent engine is ended by its cancellation and by nothing else. */
class HttpEngineClientTest {

  private static final RunnerId RUNNER = RunnerId.of("r1");
  private static final AttemptId ATTEMPT = AttemptId.of("n1.1.a1");

  /** Idle timeout of connections without an attempt; shorter than the silences. */
  private static final long IDLE_TIMEOUT_MILLIS = 1_000;

  private static final long END_LIMIT_SECONDS = 20;

  private final HttpClient http = HttpClients.startForCallers();
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final List<String> texts = new CopyOnWriteArrayList<>();
  private final CompletableFuture<AttemptOutcome> outcome = new CompletableFuture<>();
  private final CountDownLatch silent = new CountDownLatch(1);
  private final CountDownLatch end = new CountDownLatch(1);
  private HttpServer engine;
  private HttpEngineClient client;

  @BeforeEach
  void startEngine() throws IOException {
    engine = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    engine.setExecutor(threads);
    engine.start();
    RunnerSpec spec =
        new RunnerSpec(
            RUNNER,
            "http://127.0.0.1:" + engine.getAddress().getPort(),
            FailureDomain.of("fd1"),
            RunnerRole.MODEL,
            1,
            1,
            1,
            false);
    client = HttpEngineClient.create(http, runner -> Optional.of(spec));
  }

  @AfterEach
  void stop() {
    end.countDown();
    engine.stop(0);
    threads.shutdownNow();
    HttpClients.stop(http);
  }

  @ParameterizedTest
  @CsvSource({"2500, 0", "0, 2500", "2500, 2500"})
  void answerOfSilentEngineIsWhole(long beforeHead, long beforeSecondChunk) throws Exception {
    http.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    engine.createContext(
        "/attempts/",
        exchange -> {
          pause(beforeHead);
          OutputStream out = respond(exchange);
          write(out, "{\"position\":0,\"text\":\"a\",\"end\":false}");
          pause(beforeSecondChunk);
          write(out, "{\"position\":1,\"text\":\"b\",\"end\":false}");
          write(out, "{\"position\":2,\"text\":\"\",\"end\":true}");
          exchange.close();
        });
    dispatch();
    assertThat(outcome.get(END_LIMIT_SECONDS, TimeUnit.SECONDS))
        .isEqualTo(new AttemptOutcome.Completed(200));
    assertThat(texts).containsExactly("a", "b").inOrder();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void cancellationEndsAttemptOnEngineThatIsSilentForGood(boolean answerStarted) throws Exception {
    engine.createContext(
        "/attempts/",
        exchange -> {
          if (answerStarted) {
            write(respond(exchange), "{\"position\":0,\"text\":\"a\",\"end\":false}");
          }
          silent.countDown();
          await(end);
        });
    dispatch();
    assertWithMessage("the engine has the attempt; outcome: %s", outcome)
        .that(silent.await(END_LIMIT_SECONDS, TimeUnit.SECONDS))
        .isTrue();
    client.cancel(ATTEMPT, RUNNER);
    assertThat(outcome.get(END_LIMIT_SECONDS, TimeUnit.SECONDS))
        .isInstanceOf(AttemptOutcome.Broken.class);
  }

  /** The threads of a dispatch and its cancellation run in any order. */
  @Test
  void attemptThatIsCancelledBeforeItBeginsIsNotSent() throws Exception {
    AtomicBoolean sent = new AtomicBoolean();
    engine.createContext(
        "/attempts/" + ATTEMPT,
        exchange -> {
          if (exchange.getRequestURI().getPath().endsWith("/cancel")) {
            respond(exchange).close();
          } else {
            sent.set(true);
            await(end);
          }
        });
    client.cancel(ATTEMPT, RUNNER);
    dispatch();
    assertThat(outcome.get(END_LIMIT_SECONDS, TimeUnit.SECONDS))
        .isInstanceOf(AttemptOutcome.NotHandedOver.class);
    assertThat(sent.get()).isFalse();
  }

  /**
   * Guards against an invalid status that reaches the caller, or that denies that the request ran.
   */
  @ParameterizedTest
  @CsvSource({"true, 600", "true, 999", "false, 600", "false, 999"})
  void invalidStatusLeavesTheOutcomeUnknown(boolean model, int status) throws Exception {
    engine.createContext(
        "/",
        exchange -> {
          exchange.sendResponseHeaders(status, -1);
          exchange.close();
        });
    dispatch(
        model
            ? new Target.ModelTarget(ModelId.of("m1"), Optional.empty())
            : new Target.ServiceTarget(ServiceId.of("s1"), "GET", "/1"));
    assertThat(outcome.get(END_LIMIT_SECONDS, TimeUnit.SECONDS))
        .isEqualTo(new AttemptOutcome.Broken("status " + status + " is invalid", false));
    assertThat(texts).isEmpty();
  }

  private void dispatch() {
    dispatch(new Target.ModelTarget(ModelId.of("m1"), Optional.empty()));
  }

  private void dispatch(Target target) {
    InboundRequest request =
        new InboundRequest(
            RequestId.of("q1"),
            CustomerId.of("c1"),
            KindId.of("chat"),
            target,
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            "{}");
    Effect.Dispatch dispatch =
        new Effect.Dispatch(ATTEMPT, RUNNER, Optional.of(ReplicaId.of("p1")), request, 0);
    AttemptListener listener =
        new AttemptListener() {
          @Override
          public void progressed(long position, String text) {
            texts.add(text);
          }

          @Override
          public void ended(AttemptOutcome ended) {
            outcome.complete(ended);
          }
        };
    threads.execute(() -> client.dispatch(dispatch, listener));
  }

  private static OutputStream respond(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(200, 0);
    return exchange.getResponseBody();
  }

  private static void write(OutputStream out, String line) throws IOException {
    out.write((line + "\n").getBytes(UTF_8));
    out.flush();
  }

  private static void pause(long millis) {
    await(new CountDownLatch(millis == 0 ? 0 : 1), millis);
  }

  private static void await(CountDownLatch latch) {
    await(latch, TimeUnit.SECONDS.toMillis(END_LIMIT_SECONDS));
  }

  private static void await(CountDownLatch latch, long millis) {
    try {
      boolean _ = latch.await(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
