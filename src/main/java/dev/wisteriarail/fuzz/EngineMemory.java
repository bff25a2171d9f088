package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.fuzz.oracle.Observation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * The replicas of a fake engine. It executes every order that passes its fencing check, even one
 * that overcommits its memory, so that the oracle can detect it. Not thread-safe.
 */
final class EngineMemory {

  private static final class LoadedReplica {
    private final ModelId model;
    private final String version;
    private final long bytes;
    private final Set<AdapterId> adapters = new TreeSet<>();
    private ReplicaPhase phase = ReplicaPhase.LOADING;

    private LoadedReplica(ModelId model, String version, long bytes) {
      this.model = model;
      this.version = version;
      this.bytes = bytes;
    }
  }

  private final World world;
  private final SeededRandom random;
  private final RunnerSpec spec;
  private final WeightStore store;
  private final Map<ReplicaId, LoadedReplica> replicas = new TreeMap<>();
  private FencingNumber highestFence = FencingNumber.NONE;
  private int incarnation;

  EngineMemory(World world, RunnerSpec spec, WeightStore store) {
    this.world = world;
    this.spec = spec;
    this.store = store;
    random = world.random("memory-" + spec.id());
    world.observe(new Observation.RunnerSeen(spec.id(), spec.memoryBytes()));
  }

  // Orders

  /** Executes an order unless the engine checks fencing numbers and this one is too old. */
  OrderOutcome execute(
      FencingNumber fence, EngineOrder order, ToIntFunction<ReplicaId> runningCount) {
    if (spec.checksFencing() && fence.compareTo(highestFence) < 0) {
      return new OrderOutcome.Fenced(highestFence);
    }
    highestFence = fence.compareTo(highestFence) > 0 ? fence : highestFence;
    return switch (order) {
      case EngineOrder.LoadReplica load -> load(load);
      case EngineOrder.UnloadReplica unload -> unload(unload.replica(), runningCount);
      case EngineOrder.LoadAdapter load -> loadAdapter(load);
      case EngineOrder.UnloadAdapter unload -> unloadAdapter(unload);
      case EngineOrder.RaiseFence raise -> new OrderOutcome.Done();
    };
  }

  private OrderOutcome load(EngineOrder.LoadReplica load) {
    if (replicas.containsKey(load.replica())) {
      return new OrderOutcome.Done();
    }
    add(load.replica(), new LoadedReplica(load.model(), load.version(), load.bytes()));
    Duration time = store.loadTime(random.nextDuration(300, 1_500));
    boolean fails = world.injectsFault(random, FaultKind.LOAD_FAILED, 0.02);
    int startIncarnation = incarnation;
    world.after(
        time,
        () -> {
          if (startIncarnation == incarnation) {
            finishLoad(load.replica(), fails);
          }
        });
    return new OrderOutcome.Done();
  }

  private void finishLoad(ReplicaId replica, boolean fails) {
    LoadedReplica loaded = replicas.get(replica);
    if (loaded == null || loaded.phase != ReplicaPhase.LOADING) {
      return;
    }
    if (fails) {
      free(replica);
    } else {
      loaded.phase = ReplicaPhase.READY;
      world.trace(spec.id() + " has loaded " + replica);
    }
  }

  private OrderOutcome unload(ReplicaId replica, ToIntFunction<ReplicaId> runningCount) {
    LoadedReplica loaded = replicas.get(replica);
    if (loaded != null) {
      loaded.phase = ReplicaPhase.UNLOADING;
      freeIfIdle(replica, runningCount);
    }
    return new OrderOutcome.Done();
  }

  private OrderOutcome loadAdapter(EngineOrder.LoadAdapter load) {
    LoadedReplica loaded = replicas.get(load.replica());
    if (loaded == null) {
      return new OrderOutcome.Failed("no such replica");
    }
    loaded.adapters.add(load.adapter());
    return new OrderOutcome.Done();
  }

  private OrderOutcome unloadAdapter(EngineOrder.UnloadAdapter unload) {
    LoadedReplica loaded = replicas.get(unload.replica());
    if (loaded != null) {
      loaded.adapters.remove(unload.adapter());
    }
    return new OrderOutcome.Done();
  }

  /** Frees an unloading replica if no request runs on it. */
  void freeIfIdle(ReplicaId replica, ToIntFunction<ReplicaId> runningCount) {
    LoadedReplica loaded = replicas.get(replica);
    boolean idle = runningCount.applyAsInt(replica) == 0;
    if (loaded != null && loaded.phase == ReplicaPhase.UNLOADING && idle) {
      free(replica);
    }
  }

  // Life cycle

  /**
   * Ends the process: resets the fencing number, and frees all replicas or all that are not ready.
   *
   * @param keepsReady whether the next process still has the ready replicas
   */
  void crash(boolean keepsReady) {
    incarnation++;
    highestFence = FencingNumber.NONE;
    for (ReplicaId replica : List.copyOf(replicas.keySet())) {
      if (!keepsReady || replicas.get(replica).phase != ReplicaPhase.READY) {
        free(replica);
      }
    }
  }

  // Accessors

  boolean isReady(ReplicaId replica) {
    LoadedReplica loaded = replicas.get(replica);
    return loaded != null && loaded.phase == ReplicaPhase.READY;
  }

  FencingNumber highestFence() {
    return highestFence;
  }

  long usedBytes() {
    return replicas.values().stream().mapToLong(loaded -> loaded.bytes).sum();
  }

  List<ReplicaStatus> statuses(ToIntFunction<ReplicaId> runningCount) {
    List<ReplicaStatus> statuses = new ArrayList<>();
    replicas.forEach(
        (replica, loaded) ->
            statuses.add(
                new ReplicaStatus(
                    replica,
                    loaded.model,
                    loaded.version,
                    loaded.phase,
                    loaded.bytes,
                    runningCount.applyAsInt(replica),
                    List.copyOf(loaded.adapters))));
    return statuses;
  }

  // Helpers

  private void add(ReplicaId replica, LoadedReplica loaded) {
    replicas.put(replica, loaded);
    world.observe(new Observation.ReplicaHeld(spec.id(), replica, loaded.model, loaded.bytes));
  }

  private void free(ReplicaId replica) {
    replicas.remove(replica);
    world.observe(new Observation.ReplicaFreed(spec.id(), replica));
  }
}
