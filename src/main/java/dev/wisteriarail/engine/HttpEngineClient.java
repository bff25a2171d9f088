package dev.wisteriarail.engine;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.request.AttemptOutcome;
import dev.wisteriarail.core.request.Target;
import dev.wisteriarail.core.result.PlatformException;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.http.ResponseFaults;
import dev.wisteriarail.spi.AttemptListener;
import dev.wisteriarail.spi.EngineClient;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.StringRequestContent;

/**
 * Calls engines and plain services over HTTP with Jetty's client.
 *
 * <p>A model attempt is {@code POST /attempts/{attempt}}; the answer has one JSON object per line,
 * the last of which has {@code "end": true}. Thread-safe; calls block.
 */
public final class HttpEngineClient implements EngineClient {

  /** Timeout of orders and reports. */
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  /** Upper bound of an attempt; the core cancels each attempt at the deadline of its request. */
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofDays(1);

  private static final int STATUS_OK = 200;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_UNAVAILABLE = 503;

  private final HttpClient http;
  private final Function<RunnerId, Optional<RunnerSpec>> runners;
  private final AttemptRequests attempts = new AttemptRequests();

  private HttpEngineClient(HttpClient http, Function<RunnerId, Optional<RunnerSpec>> runners) {
    this.http = http;
    this.runners = runners;
  }

  /**
   * Returns a client.
   *
   * @param http a started HTTP client
   * @param runners looks up a runner in the configuration in force
   */
  public static HttpEngineClient create(
      HttpClient http, Function<RunnerId, Optional<RunnerSpec>> runners) {
    return new HttpEngineClient(http, runners);
  }

  // Attempts

  @Override
  public void dispatch(Effect.Dispatch dispatch, AttemptListener listener) {
    Optional<RunnerSpec> runner = runners.apply(dispatch.runner());
    if (runner.isEmpty()) {
      listener.ended(new AttemptOutcome.NotHandedOver("no address of " + dispatch.runner()));
      return;
    }
    AtomicBoolean handedOver = new AtomicBoolean();
    AttemptOutcome outcome;
    try {
      outcome =
          switch (dispatch.request().target()) {
            case Target.ModelTarget target ->
                runModel(dispatch, target, runner.get(), handedOver, listener);
            case Target.ServiceTarget target ->
                callService(dispatch, target, runner.get(), handedOver, listener);
          };
    } catch (IOException | TimeoutException | ExecutionException failure) {
      outcome = failed(failure, handedOver.get());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      outcome = failed(interrupted, handedOver.get());
    } finally {
      attempts.end(dispatch.attempt());
    }
    listener.ended(outcome);
  }

  /**
   * Prepares the request of an attempt. A silent engine may be sound, so only {@link #cancel} ends
   * the attempt while its connection stands.
   */
  private Request prepare(Request request, Effect.Dispatch dispatch, AtomicBoolean handedOver)
      throws IOException {
    if (!attempts.begin(dispatch.attempt(), request)) {
      throw new IOException("the attempt was cancelled before it began");
    }
    return request
        .idleTimeout(0, TimeUnit.MILLISECONDS)
        .timeout(ATTEMPT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .onRequestBegin(begun -> handedOver.set(true));
  }

  private AttemptOutcome runModel(
      Effect.Dispatch dispatch,
      Target.ModelTarget target,
      RunnerSpec runner,
      AtomicBoolean handedOver,
      AttemptListener listener)
      throws IOException, InterruptedException, TimeoutException, ExecutionException {
    EngineAttempt body =
        new EngineAttempt(
            dispatch.replica().orElseThrow(),
            target.adapter(),
            dispatch.resumeFrom(),
            dispatch.request().body());
    Request request =
        prepare(
                http.POST(runner.address() + "/attempts/" + dispatch.attempt()),
                dispatch,
                handedOver)
            .body(jsonContent(body));
    try (InputStreamResponseListener stream = new InputStreamResponseListener()) {
      request.send(stream);
      Response response = stream.get(ATTEMPT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      if (!ResponseFaults.isValidStatus(response.getStatus())) {
        return invalid(response);
      }
      if (response.getStatus() != STATUS_OK) {
        String reason = new String(stream.getInputStream().readAllBytes(), UTF_8);
        return new AttemptOutcome.Rejected(reason);
      }
      return readChunks(stream.getInputStream(), listener);
    }
  }

  private static AttemptOutcome readChunks(InputStream stream, AttemptListener listener)
      throws IOException {
    BufferedReader lines = new BufferedReader(new InputStreamReader(stream, UTF_8));
    String line = lines.readLine();
    while (line != null) {
      EngineChunk chunk = Codecs.json().readValue(line, EngineChunk.class);
      if (chunk.end()) {
        return new AttemptOutcome.Completed(STATUS_OK);
      }
      listener.progressed(chunk.position(), chunk.text());
      line = lines.readLine();
    }
    return new AttemptOutcome.Broken("the engine closed the answer before its end", false);
  }

  private AttemptOutcome callService(
      Effect.Dispatch dispatch,
      Target.ServiceTarget target,
      RunnerSpec runner,
      AtomicBoolean handedOver,
      AttemptListener listener)
      throws IOException, InterruptedException, TimeoutException, ExecutionException {
    Request request =
        prepare(
                http.newRequest(runner.address() + "/services/" + target.service() + target.path()),
                dispatch,
                handedOver)
            .method(target.method());
    if (!dispatch.request().body().isEmpty()) {
      request.body(new StringRequestContent("application/json", dispatch.request().body()));
    }
    dispatch
        .request()
        .key()
        .ifPresent(
            key ->
                request.headers(
                    headers ->
                        headers.put(
                            "Idempotency-Key", dispatch.request().customer() + "/" + key.value())));
    ContentResponse response = request.send();
    if (!ResponseFaults.isValidStatus(response.getStatus())) {
      return invalid(response);
    }
    if (response.getStatus() == STATUS_UNAVAILABLE) {
      return new AttemptOutcome.Rejected(response.getContentAsString());
    }
    listener.progressed(0, response.getContentAsString());
    return new AttemptOutcome.Completed(response.getStatus());
  }

  /** Returns the outcome of a response that does not tell whether the request has run. */
  private static AttemptOutcome invalid(Response response) {
    return new AttemptOutcome.Broken("status " + response.getStatus() + " is invalid", false);
  }

  @Override
  public void cancel(AttemptId attempt, RunnerId runner) {
    runners
        .apply(runner)
        .ifPresent(
            spec ->
                http.POST(spec.address() + "/attempts/" + attempt + "/cancel").send(ignored -> {}));
    attempts.cancel(attempt).ifPresent(HttpEngineClient::abort);
  }

  private static void abort(Request request) {
    CompletableFuture<Boolean> _ = request.abort(new IOException("the attempt is cancelled"));
  }

  // Control

  @Override
  public OrderOutcome sendOrder(Effect.OrderEngine order) {
    Optional<RunnerSpec> runner = runners.apply(order.runner());
    if (runner.isEmpty()) {
      return new OrderOutcome.Failed("no address of " + order.runner());
    }
    AtomicBoolean handedOver = new AtomicBoolean();
    try {
      ContentResponse response =
          http.POST(runner.get().address() + "/orders")
              .onRequestBegin(begun -> handedOver.set(true))
              .body(jsonContent(new EngineOrderCall(order.order(), order.fence(), order.body())))
              .timeout(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
              .send();
      return switch (response.getStatus()) {
        case STATUS_OK -> new OrderOutcome.Done();
        case STATUS_CONFLICT ->
            new OrderOutcome.Fenced(
                FencingNumber.of(Long.parseLong(response.getContentAsString().trim())));
        default -> new OrderOutcome.Failed(response.getContentAsString());
      };
    } catch (IOException | TimeoutException | ExecutionException failure) {
      return handedOver.get()
          ? new OrderOutcome.Unknown(describe(failure))
          : new OrderOutcome.Failed(describe(failure));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return new OrderOutcome.Unknown("interrupted");
    }
  }

  @Override
  public EngineReport requestReport(RunnerId runner) throws PlatformException {
    RunnerSpec spec = runners.apply(runner).orElseThrow(() -> unreachable(runner, null));
    try {
      ContentResponse response =
          http.newRequest(spec.address() + "/report")
              .timeout(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
              .send();
      if (response.getStatus() != STATUS_OK) {
        throw unreachable(runner, null);
      }
      return Codecs.json().readValue(response.getContent(), EngineReport.class);
    } catch (IOException | TimeoutException | ExecutionException failure) {
      throw unreachable(runner, failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw unreachable(runner, interrupted);
    }
  }

  // Helpers

  private static StringRequestContent jsonContent(Object value) throws IOException {
    return new StringRequestContent(
        "application/json", Codecs.json().writeValueAsString(value), UTF_8);
  }

  private static AttemptOutcome failed(Exception failure, boolean handedOver) {
    return handedOver
        ? new AttemptOutcome.Broken(describe(failure), !ResponseFaults.isUnreadable(failure))
        : new AttemptOutcome.NotHandedOver(describe(failure));
  }

  private static PlatformException unreachable(RunnerId runner, Exception cause) {
    return new PlatformException(
        ResultCode.ENGINE_UNREACHABLE, "runner " + runner, "no report", cause);
  }

  private static String describe(Exception failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return cause.getClass().getSimpleName() + ": " + cause.getMessage();
  }
}
