package dev.wisteriarail.replay;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.config.CheckpointTier;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.request.AttemptOutcome;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A fake of one runner: loads replicas from checkpoint tiers, batches attempts in its slots and
 * reports its state.
 *
 * <p>It carries out every order, even one that overcommits its memory, so that the meter can detect
 * it. Not thread-safe.
 */
final class ReplayEngine {

  private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(8);
  private static final Duration PREFILL_OVERHEAD = Duration.ofMillis(40);
  private static final long PREFILL_MICROS_PER_TOKEN = 200;
  private static final long DECODE_MICROS_PER_TOKEN = 20_000;

  /** Receives the events of an engine. */
  interface Listener {

    /** Called when the first token of an attempt is generated. */
    void onFirstToken(AttemptId attempt);

    /** Called when an attempt ends. */
    void onAttemptEnded(AttemptId attempt, AttemptOutcome outcome);

    /** Called when the engine's state changes. */
    void onStateChanged(ReplayEngine engine);
  }

  /** A replica in the engine's memory. Mutable. */
  static final class Replica {

    private final ReplicaId id;
    private final ModelSpec model;
    private final String version;
    private final long bytes;
    private ReplicaPhase phase = ReplicaPhase.LOADING;
    private final Set<AdapterId> adapters = new TreeSet<>();
    private int activeRequests;

    private Replica(ReplicaId id, ModelSpec model, String version, long bytes) {
      this.id = id;
      this.model = model;
      this.version = version;
      this.bytes = bytes;
    }

    ModelSpec model() {
      return model;
    }

    ReplicaPhase phase() {
      return phase;
    }

    long bytes() {
      return bytes;
    }

    int activeRequests() {
      return activeRequests;
    }
  }

  /** An attempt on the engine. */
  private record Attempt(AttemptId id, Replica replica, TraceLine line) {}

  private final VirtualTime time;
  private final RunnerSpec spec;
  private final ReplayWeightStore weightStore;
  private final ReplayMeter meter;
  private final Listener listener;
  private final Map<ReplicaId, Replica> replicas = new TreeMap<>();
  private final Map<ReplicaId, ReplayWeightStore.Transfer> transfers = new TreeMap<>();
  private final Map<AttemptId, Attempt> running = new LinkedHashMap<>();
  private final Deque<Attempt> queued = new ArrayDeque<>();
  private FencingNumber highestFence = FencingNumber.NONE;
  private long incarnation = 1;
  private boolean up = true;

  ReplayEngine(
      VirtualTime time,
      RunnerSpec spec,
      ReplayWeightStore weightStore,
      ReplayMeter meter,
      Listener listener) {
    this.time = time;
    this.spec = spec;
    this.weightStore = weightStore;
    this.meter = meter;
    this.listener = listener;
  }

  // Orders

  OrderOutcome handleOrder(Effect.OrderEngine order, Configuration configuration) {
    if (!up) {
      return new OrderOutcome.Unknown("the runner does not answer");
    }
    if (spec.checksFencing() && order.fence().compareTo(highestFence) < 0) {
      return new OrderOutcome.Fenced(highestFence);
    }
    if (order.fence().compareTo(highestFence) > 0) {
      highestFence = order.fence();
    }
    switch (order.body()) {
      case EngineOrder.LoadReplica load -> load(load, configuration.models().get(load.model()));
      case EngineOrder.UnloadReplica unload -> unload(unload.replica());
      case EngineOrder.LoadAdapter load -> loadAdapter(load);
      case EngineOrder.UnloadAdapter unload -> unloadAdapter(unload);
      case EngineOrder.RaiseFence raise -> {}
    }
    listener.onStateChanged(this);
    return new OrderOutcome.Done();
  }

  private void load(EngineOrder.LoadReplica load, ModelSpec model) {
    if (model == null || replicas.containsKey(load.replica())) {
      return;
    }
    Replica replica = new Replica(load.replica(), model, load.version(), load.bytes());
    meter.applyChange(() -> replicas.put(load.replica(), replica));
    meter.countLoad();
    long expectedIncarnation = incarnation;
    CheckpointTier tier = model.tierOn(spec.id());
    Duration length = model.loadTimes().of(tier);
    if (tier == CheckpointTier.REMOTE) {
      transfers.put(
          load.replica(),
          weightStore.fetch(length, () -> finishLoad(replica, expectedIncarnation)));
    } else {
      time.scheduleAfter(length, () -> finishLoad(replica, expectedIncarnation));
    }
  }

  private void finishLoad(Replica replica, long expectedIncarnation) {
    transfers.remove(replica.id);
    if (expectedIncarnation != incarnation || replica.phase != ReplicaPhase.LOADING) {
      return;
    }
    meter.applyChange(() -> replica.phase = ReplicaPhase.READY);
    listener.onStateChanged(this);
  }

  private void unload(ReplicaId id) {
    Replica replica = replicas.get(id);
    if (replica == null || replica.phase == ReplicaPhase.UNLOADING) {
      return;
    }
    if (transfers.containsKey(id)) {
      transfers.remove(id).cancel();
    }
    meter.applyChange(() -> replica.phase = ReplicaPhase.UNLOADING);
    meter.countUnload();
    removeIfUnloaded(replica);
  }

  private void loadAdapter(EngineOrder.LoadAdapter load) {
    Replica replica = replicas.get(load.replica());
    if (replica == null) {
      return;
    }
    time.scheduleAfter(
        ADAPTER_LOAD_TIME,
        () -> {
          replica.adapters.add(load.adapter());
          listener.onStateChanged(this);
        });
  }

  private void unloadAdapter(EngineOrder.UnloadAdapter unload) {
    Replica replica = replicas.get(unload.replica());
    if (replica != null) {
      replica.adapters.remove(unload.adapter());
    }
  }

  private void removeIfUnloaded(Replica replica) {
    if (replica.phase == ReplicaPhase.UNLOADING && replica.activeRequests == 0) {
      meter.applyChange(() -> replicas.remove(replica.id));
    }
  }

  // Attempts

  void dispatch(Effect.Dispatch dispatch, TraceLine line) {
    Replica replica = dispatch.replica().map(replicas::get).orElse(null);
    if (!up) {
      listener.onAttemptEnded(
          dispatch.attempt(), new AttemptOutcome.NotHandedOver("no connection"));
    } else if (replica == null || replica.phase != ReplicaPhase.READY) {
      listener.onAttemptEnded(dispatch.attempt(), new AttemptOutcome.Rejected("replica not ready"));
    } else if (line.adapter() != null && !replica.adapters.contains(AdapterId.of(line.adapter()))) {
      listener.onAttemptEnded(
          dispatch.attempt(), new AttemptOutcome.Rejected("adapter not loaded"));
    } else {
      meter.applyChange(() -> replica.activeRequests++);
      queued.add(new Attempt(dispatch.attempt(), replica, line));
      startQueued();
      listener.onStateChanged(this);
    }
  }

  private void startQueued() {
    while (!queued.isEmpty() && running.size() < spec.slots()) {
      Attempt attempt = queued.remove();
      running.put(attempt.id(), attempt);
      long prefill =
          PREFILL_OVERHEAD.toNanos() / 1_000 + attempt.line().tokensIn() * PREFILL_MICROS_PER_TOKEN;
      long decode = (attempt.line().tokensOut() - 1L) * DECODE_MICROS_PER_TOKEN;
      time.scheduleAt(time.micros() + prefill, () -> reportFirstToken(attempt));
      time.scheduleAt(time.micros() + prefill + decode, () -> finish(attempt));
    }
  }

  private void reportFirstToken(Attempt attempt) {
    if (running.containsKey(attempt.id())) {
      listener.onFirstToken(attempt.id());
    }
  }

  private void finish(Attempt attempt) {
    if (running.remove(attempt.id()) == null) {
      return;
    }
    release(attempt);
    listener.onAttemptEnded(attempt.id(), new AttemptOutcome.Completed(200));
  }

  void cancel(AttemptId id) {
    Attempt attempt = running.remove(id);
    if (attempt != null) {
      release(attempt);
      return;
    }
    for (Attempt waiting : List.copyOf(queued)) {
      if (waiting.id().equals(id)) {
        queued.remove(waiting);
        release(waiting);
      }
    }
  }

  private void release(Attempt attempt) {
    meter.applyChange(() -> attempt.replica().activeRequests--);
    removeIfUnloaded(attempt.replica());
    startQueued();
    listener.onStateChanged(this);
  }

  // Faults

  /** Crashes the engine: drops its replicas and aborts its attempts. */
  void crash() {
    up = false;
    incarnation++;
    List<Attempt> aborted = new ArrayList<>(running.values());
    aborted.addAll(queued);
    running.clear();
    queued.clear();
    transfers.values().forEach(ReplayWeightStore.Transfer::cancel);
    transfers.clear();
    meter.applyChange(replicas::clear);
    for (Attempt attempt : aborted) {
      listener.onAttemptEnded(attempt.id(), new AttemptOutcome.Broken("the runner is gone", true));
    }
  }

  /** Restarts the engine without replicas. */
  void restart() {
    up = true;
    highestFence = FencingNumber.NONE;
    listener.onStateChanged(this);
  }

  // Accessors

  EngineReport report() {
    List<ReplicaStatus> statuses = new ArrayList<>();
    for (Replica replica : replicas.values()) {
      statuses.add(
          new ReplicaStatus(
              replica.id,
              replica.model.id(),
              replica.version,
              replica.phase,
              replica.bytes,
              replica.activeRequests,
              List.copyOf(replica.adapters)));
    }
    return new EngineReport(
        spec.id(),
        Incarnation.of(incarnation),
        highestFence,
        false,
        running.size(),
        queued.size(),
        usedBytes(),
        statuses);
  }

  RunnerSpec spec() {
    return spec;
  }

  boolean isUp() {
    return up;
  }

  Iterable<Replica> replicas() {
    return replicas.values();
  }

  boolean hasReady(ModelId model) {
    for (Replica replica : replicas.values()) {
      if (replica.phase == ReplicaPhase.READY && replica.model.id().equals(model)) {
        return up;
      }
    }
    return false;
  }

  long usedBytes() {
    return replicas.values().stream().mapToLong(Replica::bytes).sum();
  }
}
