package dev.wisteriarail.standin;

import com.fasterxml.jackson.databind.JsonNode;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.engine.EngineAttempt;
import dev.wisteriarail.engine.EngineOrderCall;
import dev.wisteriarail.engine.EnginePiece;
import dev.wisteriarail.settings.Endpoint;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;

/**
 * A stand-in for a model engine: orders, attempts and reports.
 *
 * <p>An answer repeats the request's own body, so that a caller can check that it got its own.
 * Thread-safe.
 */
public final class EngineStandin implements AutoCloseable {

  private static final int DEFAULT_PIECES = 8;
  private static final int MAX_PIECES = 4_096;

  /** A replica in the engine's memory. */
  private record Loaded(ModelId model, String version, long bytes, ReplicaPhase phase) {

    Loaded withPhase(ReplicaPhase newPhase) {
      return new Loaded(model, version, bytes, newPhase);
    }
  }

  private final EngineSetup setup;
  private final HttpClient http;
  private final StandinServer server;
  private final Incarnation incarnation = Incarnation.of(System.nanoTime());
  private final Map<ReplicaId, Loaded> replicas = new TreeMap<>();
  private final Map<ReplicaId, Integer> active = new TreeMap<>();
  private final Set<AttemptId> cancelled = new HashSet<>();
  private FencingNumber highestFence = FencingNumber.NONE;
  private long highWaterBytes;
  private int loads;
  private long reports;
  private boolean leaving;

  private EngineStandin(Endpoint endpoint, long seed, EngineSetup setup, HttpClient http)
      throws SettingsException {
    this.setup = setup;
    this.http = http;
    server = StandinServer.start(endpoint, seed, this::serve);
  }

  /**
   * Starts an engine without replicas.
   *
   * @param http a started client, to reach the weight store
   * @throws SettingsException if the port cannot be bound
   */
  public static EngineStandin start(
      Endpoint endpoint, long seed, EngineSetup setup, HttpClient http) throws SettingsException {
    return new EngineStandin(endpoint, seed, setup, http);
  }

  private void serve(Call call) throws IOException, InterruptedException {
    List<String> parts = call.parts();
    if (call.path().equals("/report")) {
      call.replyJson(report());
    } else if (call.path().equals("/orders")) {
      order(call);
    } else if (parts.size() == 2 && parts.getFirst().equals("attempts")) {
      run(AttemptId.of(parts.get(1)), call);
    } else if (parts.size() == 3 && parts.get(2).equals("cancel")) {
      cancel(AttemptId.of(parts.get(1)));
      call.reply(200, "ok\n");
    } else {
      call.reply(404, "no such path\n");
    }
  }

  // Orders

  private void order(Call call) throws IOException {
    EngineOrderCall order = call.body(EngineOrderCall.class);
    Optional<FencingNumber> higher = checkFence(order.fence());
    if (higher.isPresent()) {
      call.reply(409, higher.get().toString());
      return;
    }
    Optional<String> failure = apply(order.body());
    if (server.losesAnswer()) {
      return;
    }
    if (failure.isPresent()) {
      call.reply(422, failure.get());
    } else {
      call.reply(200, "ok\n");
    }
  }

  private synchronized Optional<FencingNumber> checkFence(FencingNumber fence) {
    if (setup.checksFencing() && fence.compareTo(highestFence) < 0) {
      return Optional.of(highestFence);
    }
    if (fence.compareTo(highestFence) > 0) {
      highestFence = fence;
    }
    return Optional.empty();
  }

  private Optional<String> apply(EngineOrder order) {
    return switch (order) {
      case EngineOrder.LoadReplica load -> load(load);
      case EngineOrder.UnloadReplica unload -> unload(unload.replica());
      case EngineOrder.LoadAdapter adapter -> Optional.of("adapters are not served yet");
      case EngineOrder.UnloadAdapter adapter -> Optional.of("adapters are not served yet");
      case EngineOrder.RaiseFence raise -> Optional.empty();
    };
  }

  private synchronized Optional<String> load(EngineOrder.LoadReplica load) {
    if (replicas.containsKey(load.replica())) {
      return Optional.empty();
    }
    if (usedBytes() + load.bytes() > setup.memoryBytes()) {
      return Optional.of("out of memory: " + usedBytes() + " bytes in use");
    }
    replicas.put(
        load.replica(),
        new Loaded(load.model(), load.version(), load.bytes(), ReplicaPhase.LOADING));
    highWaterBytes = Math.max(highWaterBytes, usedBytes());
    loads++;
    Thread.ofVirtual().start(() -> finishLoad(load.replica()));
    return Optional.empty();
  }

  private void finishLoad(ReplicaId replica) {
    try {
      if (setup.weightStore().isPresent()) {
        http.POST(setup.weightStore().get() + "/fetch?ms=" + setup.loadMillis()).send();
      } else {
        Thread.sleep(setup.loadMillis());
      }
      setPhase(replica, ReplicaPhase.READY);
    } catch (TimeoutException | ExecutionException failure) {
      remove(replica);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized Optional<String> unload(ReplicaId replica) {
    setPhase(replica, ReplicaPhase.UNLOADING);
    if (active.getOrDefault(replica, 0) == 0) {
      remove(replica);
    }
    return Optional.empty();
  }

  private synchronized void setPhase(ReplicaId replica, ReplicaPhase phase) {
    replicas.computeIfPresent(replica, (id, loaded) -> loaded.withPhase(phase));
  }

  private synchronized void remove(ReplicaId replica) {
    replicas.remove(replica);
  }

  // Attempts

  private void run(AttemptId attempt, Call call) throws IOException, InterruptedException {
    EngineAttempt body = call.body(EngineAttempt.class);
    if (!enter(body.replica())) {
      call.reply(503, "the replica does not take requests");
      return;
    }
    try {
      answer(attempt, body, call);
    } finally {
      leave(body.replica());
    }
  }

  private void answer(AttemptId attempt, EngineAttempt body, Call call)
      throws IOException, InterruptedException {
    JsonNode request = Codecs.json().readTree(body.body());
    int pieces = Math.clamp(request.path("max_tokens").asInt(DEFAULT_PIECES), 1, MAX_PIECES);
    String echo = request.path("prompt").asText(request.path("messages").toString());
    for (long position = body.resumeFrom(); position < pieces; position++) {
      if (isCancelled(attempt)) {
        return;
      }
      Thread.sleep(setup.tokenMillis());
      String text = position == 0 ? echo : " t" + position;
      call.writeLine(new EnginePiece(position, text, false), false);
    }
    call.writeLine(new EnginePiece(pieces, "", true), true);
  }

  private synchronized boolean enter(ReplicaId replica) {
    Loaded loaded = replicas.get(replica);
    if (loaded == null || loaded.phase() != ReplicaPhase.READY) {
      return false;
    }
    active.merge(replica, 1, Integer::sum);
    return true;
  }

  private synchronized void leave(ReplicaId replica) {
    int left = active.merge(replica, -1, Integer::sum);
    Loaded loaded = replicas.get(replica);
    if (left == 0 && loaded != null && loaded.phase() == ReplicaPhase.UNLOADING) {
      remove(replica);
    }
  }

  private synchronized void cancel(AttemptId attempt) {
    cancelled.add(attempt);
  }

  private synchronized boolean isCancelled(AttemptId attempt) {
    return cancelled.remove(attempt);
  }

  // Accessors

  /** Returns the engine's state as it reports it. */
  public synchronized EngineReport report() {
    List<ReplicaStatus> statuses = new ArrayList<>();
    replicas.forEach(
        (replica, loaded) ->
            statuses.add(
                new ReplicaStatus(
                    replica,
                    loaded.model(),
                    loaded.version(),
                    loaded.phase(),
                    loaded.bytes(),
                    active.getOrDefault(replica, 0),
                    List.of())));
    reports++;
    int running = active.values().stream().mapToInt(Integer::intValue).sum();
    return new EngineReport(
        setup.runner(),
        incarnation,
        highestFence,
        leaving,
        Math.min(running, setup.slots()),
        Math.max(0, running - setup.slots()),
        usedBytes(),
        statuses,
        reports);
  }

  /** Returns the number of loads that the engine has started. */
  public synchronized int loads() {
    return loads;
  }

  /** Returns the most accelerator memory that was in use at a time, in bytes. */
  public synchronized long highWaterBytes() {
    return highWaterBytes;
  }

  /** Makes the engine report that it is leaving, or not. */
  public synchronized void setLeaving(boolean isLeaving) {
    leaving = isLeaving;
  }

  /** Returns the server, for its address and faults. */
  public StandinServer server() {
    return server;
  }

  @Override
  public void close() {
    server.close();
  }

  private long usedBytes() {
    return replicas.values().stream().mapToLong(Loaded::bytes).sum();
  }
}
