package dev.wisteriarail.standin;

import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The state of an engine stand-in: replicas, adapters, running requests and the highest fencing
 * number.
 *
 * <p>A crash clears this state and starts a new incarnation. Thread-safe.
 */
final class EngineState {

  /** A replica in the engine's memory. */
  private record LoadedReplica(
      ModelId model,
      String version,
      long bytes,
      ReplicaPhase phase,
      Map<AdapterId, Long> adapters) {

    LoadedReplica withPhase(ReplicaPhase newPhase) {
      return new LoadedReplica(model, version, bytes, newPhase, adapters);
    }

    LoadedReplica withAdapters(Map<AdapterId, Long> newAdapters) {
      return new LoadedReplica(model, version, bytes, phase, newAdapters);
    }

    long adapterBytes() {
      return adapters.values().stream().mapToLong(Long::longValue).sum();
    }
  }

  private final EngineSetup setup;
  private final Map<ReplicaId, LoadedReplica> replicas = new TreeMap<>();
  private final Map<ReplicaId, Integer> activeRequests = new TreeMap<>();
  private FencingNumber highestFence = FencingNumber.NONE;
  private Incarnation incarnation = Incarnation.of(System.nanoTime());
  private long highWaterBytes;
  private long reportSequence;
  private int loads;
  private int crashes;
  private boolean leaving;

  EngineState(EngineSetup setup) {
    this.setup = setup;
  }

  // Orders

  /** Returns the highest fencing number seen if the given one is refused as stale, else empty. */
  synchronized Optional<FencingNumber> checkFence(FencingNumber fence) {
    if (setup.checksFencing() && fence.compareTo(highestFence) < 0) {
      return Optional.of(highestFence);
    }
    if (fence.compareTo(highestFence) > 0) {
      highestFence = fence;
    }
    return Optional.empty();
  }

  /**
   * Reserves memory for a replica that starts to load.
   *
   * @return the reason for a refusal, or empty
   */
  synchronized Optional<String> reserve(EngineOrder.LoadReplica load) {
    if (usedBytes() + load.bytes() > setup.memoryBytes()) {
      return Optional.of("out of memory: " + usedBytes() + " bytes in use");
    }
    replicas.put(
        load.replica(),
        new LoadedReplica(
            load.model(), load.version(), load.bytes(), ReplicaPhase.LOADING, Map.of()));
    highWaterBytes = Math.max(highWaterBytes, usedBytes());
    loads++;
    return Optional.empty();
  }

  /** Marks a replica as ready unless the engine crashed since the load started. */
  synchronized void markReady(ReplicaId replica, Incarnation loadIncarnation) {
    if (loadIncarnation.equals(incarnation)) {
      replicas.computeIfPresent(
          replica,
          (id, loaded) ->
              loaded.phase() == ReplicaPhase.LOADING
                  ? loaded.withPhase(ReplicaPhase.READY)
                  : loaded);
    }
  }

  /** Stops a replica from accepting requests and removes it once it runs none. */
  synchronized void unload(ReplicaId replica) {
    replicas.computeIfPresent(replica, (id, loaded) -> loaded.withPhase(ReplicaPhase.UNLOADING));
    if (activeRequests.getOrDefault(replica, 0) == 0) {
      remove(replica);
    }
  }

  /** Adds an adapter to a replica; returns the reason for a refusal, or empty. */
  synchronized Optional<String> addAdapter(EngineOrder.LoadAdapter load) {
    LoadedReplica loaded = replicas.get(load.replica());
    if (loaded == null) {
      return Optional.of("no replica " + load.replica());
    }
    if (loaded.adapterBytes() + load.bytes() > loaded.bytes()) {
      return Optional.of("the replica has no room for the adapter");
    }
    Map<AdapterId, Long> adapters = new TreeMap<>(loaded.adapters());
    adapters.put(load.adapter(), load.bytes());
    replicas.put(load.replica(), loaded.withAdapters(adapters));
    return Optional.empty();
  }

  /** Removes an adapter from a replica. */
  synchronized void removeAdapter(ReplicaId replica, AdapterId adapter) {
    replicas.computeIfPresent(
        replica,
        (id, loaded) -> {
          Map<AdapterId, Long> adapters = new TreeMap<>(loaded.adapters());
          adapters.remove(adapter);
          return loaded.withAdapters(adapters);
        });
  }

  synchronized void remove(ReplicaId replica) {
    replicas.remove(replica);
  }

  // Attempts

  /** Starts a request on a replica; returns the reason for a refusal, or empty. */
  synchronized Optional<String> startRequest(ReplicaId replica, Optional<AdapterId> adapter) {
    LoadedReplica loaded = replicas.get(replica);
    if (loaded == null || loaded.phase() != ReplicaPhase.READY) {
      return Optional.of("the replica does not take requests");
    }
    if (adapter.isPresent() && !loaded.adapters().containsKey(adapter.get())) {
      return Optional.of("the adapter is not loaded");
    }
    activeRequests.merge(replica, 1, Integer::sum);
    return Optional.empty();
  }

  /** Ends a request; does nothing if the engine crashed since the request started. */
  synchronized void endRequest(ReplicaId replica, Incarnation startIncarnation) {
    if (!startIncarnation.equals(incarnation)) {
      return;
    }
    int remaining = activeRequests.merge(replica, -1, Integer::sum);
    LoadedReplica loaded = replicas.get(replica);
    if (remaining == 0 && loaded != null && loaded.phase() == ReplicaPhase.UNLOADING) {
      remove(replica);
    }
  }

  // Faults

  /** Clears the state, as a crash and restart of the engine process does. */
  synchronized void crash() {
    replicas.clear();
    activeRequests.clear();
    reportSequence = 0;
    highestFence = FencingNumber.NONE;
    incarnation = Incarnation.of(incarnation.value() + 1);
    crashes++;
  }

  synchronized void setLeaving(boolean isLeaving) {
    leaving = isLeaving;
  }

  // Accessors

  synchronized boolean hasReplica(ReplicaId replica) {
    return replicas.containsKey(replica);
  }

  synchronized Incarnation incarnation() {
    return incarnation;
  }

  synchronized EngineCounters counters() {
    return new EngineCounters(loads, crashes, highWaterBytes, setup.memoryBytes());
  }

  synchronized EngineReport report() {
    List<ReplicaStatus> statuses = new ArrayList<>();
    replicas.forEach((replica, loaded) -> statuses.add(statusOf(replica, loaded)));
    reportSequence++;
    int running = activeRequests.values().stream().mapToInt(Integer::intValue).sum();
    return new EngineReport(
        setup.runner(),
        incarnation,
        highestFence,
        leaving,
        Math.min(running, setup.slots()),
        Math.max(0, running - setup.slots()),
        usedBytes(),
        statuses,
        reportSequence);
  }

  private ReplicaStatus statusOf(ReplicaId replica, LoadedReplica loaded) {
    return new ReplicaStatus(
        replica,
        loaded.model(),
        loaded.version(),
        loaded.phase(),
        loaded.bytes(),
        activeRequests.getOrDefault(replica, 0),
        List.copyOf(loaded.adapters().keySet()));
  }

  private long usedBytes() {
    return replicas.values().stream().mapToLong(LoadedReplica::bytes).sum();
  }
}
