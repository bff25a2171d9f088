package dev.wisteriarail.standin;

import com.fasterxml.jackson.databind.JsonNode;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.engine.EngineAttempt;
import dev.wisteriarail.engine.EngineChunk;
import dev.wisteriarail.engine.EngineOrderCall;
import dev.wisteriarail.settings.Endpoint;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;

/**
 * A stand-in for a model engine that serves orders, attempts and reports over HTTP.
 *
 * <p>It serves {@code GET /report}, {@code POST /orders}, {@code POST /attempts/{id}} and {@code
 * POST /attempts/{id}/cancel}; for tests also {@code GET /counters}, {@code POST /crash} and {@code
 * POST /leave}. An answer repeats the prompt of its request, so that a caller can detect the answer
 * to another request. Thread-safe.
 */
public final class EngineStandin implements AutoCloseable {

  private static final int DEFAULT_CHUNKS = 8;
  private static final int MAX_CHUNKS = 4_096;
  private static final long ADAPTER_LOAD_MILLIS = 8;

  private final EngineSetup setup;
  private final HttpClient http;
  private final StandinServer server;
  private final EngineState state;
  private final ReportHistory reports = new ReportHistory();
  private final Set<AttemptId> cancelled = ConcurrentHashMap.newKeySet();

  private EngineStandin(Endpoint endpoint, long seed, EngineSetup setup, HttpClient http)
      throws SettingsException {
    this.setup = setup;
    this.http = http;
    state = new EngineState(setup);
    server = StandinServer.start(endpoint, seed, this::serve);
  }

  /**
   * Starts an engine without replicas.
   *
   * @param http a started client for calls to the weight store
   * @throws SettingsException if the port cannot be bound
   */
  public static EngineStandin start(
      Endpoint endpoint, long seed, EngineSetup setup, HttpClient http) throws SettingsException {
    return new EngineStandin(endpoint, seed, setup, http);
  }

  private void serve(Call call) throws IOException, InterruptedException {
    List<String> parts = call.pathSegments();
    switch (call.path()) {
      case "/report" ->
          call.replyJson(reports.addAndGet(state.report(), server.faults().reportLagMillis()));
      case "/orders" -> handleOrder(call);
      case "/counters" -> call.replyJson(state.counters());
      case "/crash" -> {
        state.crash();
        call.reply(200, "crashed\n");
      }
      case "/leave" -> {
        state.setLeaving(true);
        call.reply(200, "leaving\n");
      }
      default -> serveAttempt(parts, call);
    }
  }

  private void serveAttempt(List<String> parts, Call call)
      throws IOException, InterruptedException {
    if (parts.size() == 2 && parts.getFirst().equals("attempts")) {
      runAttempt(AttemptId.of(parts.get(1)), call);
    } else if (parts.size() == 3 && parts.get(2).equals("cancel")) {
      cancelled.add(AttemptId.of(parts.get(1)));
      call.reply(200, "ok\n");
    } else {
      call.reply(404, "no such path\n");
    }
  }

  // Orders

  private void handleOrder(Call call) throws IOException, InterruptedException {
    EngineOrderCall order = call.body(EngineOrderCall.class);
    Optional<FencingNumber> higher = state.checkFence(order.fence());
    if (higher.isPresent()) {
      call.reply(409, higher.get().toString());
      return;
    }
    Optional<String> failure = apply(order.body());
    if (server.shouldLoseAnswer()) {
      return;
    }
    if (failure.isPresent()) {
      call.reply(422, failure.get());
    } else {
      call.reply(200, "ok\n");
    }
  }

  private Optional<String> apply(EngineOrder order) throws InterruptedException {
    switch (order) {
      case EngineOrder.LoadReplica load -> {
        return startLoad(load);
      }
      case EngineOrder.UnloadReplica unload -> state.unload(unload.replica());
      case EngineOrder.LoadAdapter load -> {
        Thread.sleep(ADAPTER_LOAD_MILLIS);
        return state.addAdapter(load);
      }
      case EngineOrder.UnloadAdapter unload ->
          state.removeAdapter(unload.replica(), unload.adapter());
      case EngineOrder.RaiseFence raise -> {}
    }
    return Optional.empty();
  }

  private Optional<String> startLoad(EngineOrder.LoadReplica load) {
    if (state.hasReplica(load.replica())) {
      return Optional.empty();
    }
    Optional<String> failure = state.reserve(load);
    if (failure.isEmpty()) {
      Incarnation loadIncarnation = state.incarnation();
      Thread.ofVirtual().start(() -> finishLoad(load.replica(), loadIncarnation));
    }
    return failure;
  }

  private void finishLoad(ReplicaId replica, Incarnation loadIncarnation) {
    try {
      if (setup.weightStore().isPresent()) {
        http.POST(setup.weightStore().get() + "/fetch?ms=" + setup.loadMillis()).send();
      } else {
        Thread.sleep(setup.loadMillis());
      }
      state.markReady(replica, loadIncarnation);
    } catch (TimeoutException | ExecutionException failure) {
      state.remove(replica);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  // Attempts

  private void runAttempt(AttemptId attempt, Call call) throws IOException, InterruptedException {
    EngineAttempt body = call.body(EngineAttempt.class);
    Optional<String> refusal = state.startRequest(body.replica(), body.adapter());
    if (refusal.isPresent()) {
      call.reply(503, refusal.get());
      return;
    }
    Incarnation startIncarnation = state.incarnation();
    try {
      if (setup.crashOn().filter(body.body()::contains).isPresent()) {
        state.crash();
      }
      streamAnswer(attempt, body, startIncarnation, call);
    } finally {
      state.endRequest(body.replica(), startIncarnation);
    }
  }

  private void streamAnswer(
      AttemptId attempt, EngineAttempt body, Incarnation startIncarnation, Call call)
      throws IOException, InterruptedException {
    JsonNode request = Codecs.json().readTree(body.body());
    int chunks = Math.clamp(request.path("max_tokens").asInt(DEFAULT_CHUNKS), 1, MAX_CHUNKS);
    String echo = request.path("prompt").asText(request.path("messages").toString());
    for (long position = body.resumeFrom(); position < chunks; position++) {
      if (cancelled.remove(attempt) || !state.incarnation().equals(startIncarnation)) {
        return;
      }
      Thread.sleep(setup.tokenMillis());
      String text = position == 0 ? echo : " t" + position;
      call.writeLine(new EngineChunk(position, text, false), false);
    }
    call.writeLine(new EngineChunk(chunks, "", true), true);
  }

  // Accessors

  /** Returns a report of the engine's current state. */
  public EngineReport report() {
    return state.report();
  }

  /** Returns the engine's counters. */
  public EngineCounters counters() {
    return state.counters();
  }

  /** Returns the server, which holds the address and the faults. */
  public StandinServer server() {
    return server;
  }

  @Override
  public void close() {
    server.close();
  }
}
