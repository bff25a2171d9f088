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
 * A fake of one runner: loads replicas by tier, batches attempts in its slots, reports its state.
 *
 * <p>Carries out every order, also one that overcommits its memory, so that the meter can see it.
 * Not thread-safe.
 */
final class ReplayEngine {

  private static final Duration ADAPTER_LOAD = Duration.ofMillis(8);
  private static final Duration PREFILL_START = Duration.ofMillis(40);
  private static final long PREFILL_MICROS_A_TOKEN = 200;
  private static final long MICROS_A_TOKEN = 20_000;

  /** Where the engine sends what it answers. */
  interface Listener {

    /** The first token of an attempt is there. */
    void firstToken(AttemptId attempt);

    /** An attempt ended. */
    void ended(AttemptId attempt, AttemptOutcome outcome);

    /** The engine's state changed. */
    void changed(ReplayEngine engine);
  }

  /** A replica in the engine's memory. Mutable. */
  static final class Replica {

    private final ReplicaId id;
    private final ModelSpec model;
    private final String version;
    private final long bytes;
    private ReplicaPhase phase = ReplicaPhase.LOADING;
    private final Set<AdapterId> adapters = new TreeSet<>();
    private int active;

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

    int active() {
      return active;
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

  OrderOutcome order(Effect.OrderEngine order, Configuration configuration) {
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
    listener.changed(this);
    return new OrderOutcome.Done();
  }

  private void load(EngineOrder.LoadReplica load, ModelSpec model) {
    if (model == null || replicas.containsKey(load.replica())) {
      return;
    }
    Replica replica = new Replica(load.replica(), model, load.version(), load.bytes());
    meter.change(() -> replicas.put(load.replica(), replica));
    meter.countLoad();
    long expected = incarnation;
    CheckpointTier tier = model.tierOn(spec.id());
    Duration length = model.loadTimes().of(tier);
    if (tier == CheckpointTier.REMOTE) {
      transfers.put(load.replica(), weightStore.fetch(length, () -> finishLoad(replica, expected)));
    } else {
      time.after(length, () -> finishLoad(replica, expected));
    }
  }

  private void finishLoad(Replica replica, long expected) {
    transfers.remove(replica.id);
    if (expected != incarnation || replica.phase != ReplicaPhase.LOADING) {
      return;
    }
    meter.change(() -> replica.phase = ReplicaPhase.READY);
    listener.changed(this);
  }

  private void unload(ReplicaId id) {
    Replica replica = replicas.get(id);
    if (replica == null || replica.phase == ReplicaPhase.UNLOADING) {
      return;
    }
    if (transfers.containsKey(id)) {
      transfers.remove(id).cancel();
    }
    meter.change(() -> replica.phase = ReplicaPhase.UNLOADING);
    meter.countUnload();
    removeIfDone(replica);
  }

  private void loadAdapter(EngineOrder.LoadAdapter load) {
    Replica replica = replicas.get(load.replica());
    if (replica == null) {
      return;
    }
    time.after(
        ADAPTER_LOAD,
        () -> {
          replica.adapters.add(load.adapter());
          listener.changed(this);
        });
  }

  private void unloadAdapter(EngineOrder.UnloadAdapter unload) {
    Replica replica = replicas.get(unload.replica());
    if (replica != null) {
      replica.adapters.remove(unload.adapter());
    }
  }

  private void removeIfDone(Replica replica) {
    if (replica.phase == ReplicaPhase.UNLOADING && replica.active == 0) {
      meter.change(() -> replicas.remove(replica.id));
    }
  }

  // Attempts

  void dispatch(Effect.Dispatch dispatch, TraceLine line) {
    Replica replica = dispatch.replica().map(replicas::get).orElse(null);
    if (!up) {
      listener.ended(dispatch.attempt(), new AttemptOutcome.NotHandedOver("no connection"));
    } else if (replica == null || replica.phase != ReplicaPhase.READY) {
      listener.ended(dispatch.attempt(), new AttemptOutcome.Rejected("replica not ready"));
    } else if (line.adapter() != null && !replica.adapters.contains(AdapterId.of(line.adapter()))) {
      listener.ended(dispatch.attempt(), new AttemptOutcome.Rejected("adapter not loaded"));
    } else {
      meter.change(() -> replica.active++);
      queued.add(new Attempt(dispatch.attempt(), replica, line));
      startQueued();
      listener.changed(this);
    }
  }

  private void startQueued() {
    while (!queued.isEmpty() && running.size() < spec.slots()) {
      Attempt attempt = queued.remove();
      running.put(attempt.id(), attempt);
      long prefill =
          PREFILL_START.toNanos() / 1_000 + attempt.line().tokensIn() * PREFILL_MICROS_A_TOKEN;
      long rest = (attempt.line().tokensOut() - 1L) * MICROS_A_TOKEN;
      time.at(time.micros() + prefill, () -> showFirstToken(attempt));
      time.at(time.micros() + prefill + rest, () -> finish(attempt));
    }
  }

  private void showFirstToken(Attempt attempt) {
    if (running.containsKey(attempt.id())) {
      listener.firstToken(attempt.id());
    }
  }

  private void finish(Attempt attempt) {
    if (running.remove(attempt.id()) == null) {
      return;
    }
    leave(attempt);
    listener.ended(attempt.id(), new AttemptOutcome.Completed(200));
  }

  void cancel(AttemptId id) {
    Attempt attempt = running.remove(id);
    if (attempt != null) {
      leave(attempt);
      return;
    }
    for (Attempt waiting : List.copyOf(queued)) {
      if (waiting.id().equals(id)) {
        queued.remove(waiting);
        leave(waiting);
      }
    }
  }

  private void leave(Attempt attempt) {
    meter.change(() -> attempt.replica().active--);
    removeIfDone(attempt.replica());
    startQueued();
    listener.changed(this);
  }

  // Faults

  /** Crashes: loses its replicas and breaks its attempts. */
  void crash() {
    up = false;
    incarnation++;
    List<Attempt> broken = new ArrayList<>(running.values());
    broken.addAll(queued);
    running.clear();
    queued.clear();
    transfers.values().forEach(ReplayWeightStore.Transfer::cancel);
    transfers.clear();
    meter.change(replicas::clear);
    for (Attempt attempt : broken) {
      listener.ended(attempt.id(), new AttemptOutcome.Broken("the runner is gone", true));
    }
  }

  /** Comes back empty. */
  void restart() {
    up = true;
    highestFence = FencingNumber.NONE;
    listener.changed(this);
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
              replica.active,
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
