package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** An engine that accepts loads beyond its memory, so that tests can measure overcommitment. */
final class FakeEngine {

  /** A replica in the engine's memory. */
  record Loaded(
      ModelId model,
      String version,
      long bytes,
      Instant readyAt,
      boolean unloading,
      Set<AdapterId> adapters) {

    Loaded withUnloading() {
      return new Loaded(model, version, bytes, readyAt, true, adapters);
    }

    ReplicaPhase phase(Instant now) {
      ReplicaPhase loadPhase = now.isBefore(readyAt) ? ReplicaPhase.LOADING : ReplicaPhase.READY;
      return unloading ? ReplicaPhase.UNLOADING : loadPhase;
    }
  }

  final RunnerId id;
  final long capacity;
  final boolean checksFencing;
  final Duration loadTime;
  final Map<ReplicaId, Loaded> replicas = new TreeMap<>();
  final List<ReplicaId> loads = new ArrayList<>();
  final Set<NodeId> cutFrom = new TreeSet<>();
  long peakBytes;
  long extraBytes;
  boolean numbersReports = true;
  boolean losesAnswers;
  boolean refusesLoads;
  boolean unloadsSlowly;
  boolean down;
  boolean leaving;
  private FencingNumber highest = FencingNumber.NONE;
  private long incarnation = 1;
  private long sequence;

  FakeEngine(RunnerId id, long capacity, boolean checksFencing, Duration loadTime) {
    this.id = id;
    this.capacity = capacity;
    this.checksFencing = checksFencing;
    this.loadTime = loadTime;
  }

  OrderOutcome order(FencingNumber fence, EngineOrder body, Instant now) {
    if (checksFencing && fence.compareTo(highest) < 0) {
      return new OrderOutcome.Fenced(highest);
    }
    highest = fence.compareTo(highest) > 0 ? fence : highest;
    if (refusesLoads && body instanceof EngineOrder.LoadReplica) {
      return new OrderOutcome.Failed("refused");
    }
    apply(body, now);
    return losesAnswers ? new OrderOutcome.Unknown("lost") : new OrderOutcome.Done();
  }

  private void apply(EngineOrder body, Instant now) {
    switch (body) {
      case EngineOrder.LoadReplica load -> {
        Loaded loaded =
            new Loaded(
                load.model(),
                load.version(),
                load.bytes(),
                now.plus(loadTime),
                false,
                new TreeSet<>());
        if (replicas.putIfAbsent(load.replica(), loaded) == null) {
          loads.add(load.replica());
          peakBytes = Math.max(peakBytes, used());
        }
      }
      case EngineOrder.UnloadReplica unload -> unload(unload.replica());
      case EngineOrder.LoadAdapter load ->
          replicas.computeIfPresent(
              load.replica(), (id, replica) -> withAdapter(replica, load.adapter()));
      case EngineOrder.UnloadAdapter unload -> {
        Loaded replica = replicas.get(unload.replica());
        if (replica != null) {
          replica.adapters().remove(unload.adapter());
        }
      }
      case EngineOrder.RaiseFence raise -> {}
    }
  }

  private void unload(ReplicaId replica) {
    if (unloadsSlowly) {
      replicas.computeIfPresent(replica, (id, loaded) -> loaded.withUnloading());
    } else {
      replicas.remove(replica);
    }
  }

  void finishUnloading() {
    unloadsSlowly = false;
    replicas.values().removeIf(Loaded::unloading);
  }

  private static Loaded withAdapter(Loaded replica, AdapterId adapter) {
    replica.adapters().add(adapter);
    return replica;
  }

  void restart() {
    replicas.clear();
    highest = FencingNumber.NONE;
    incarnation++;
    sequence = 0;
  }

  boolean isReady(ReplicaId replica, Instant now) {
    Loaded loaded = replicas.get(replica);
    return !down && loaded != null && loaded.phase(now) == ReplicaPhase.READY;
  }

  long used() {
    return extraBytes + replicas.values().stream().mapToLong(Loaded::bytes).sum();
  }

  long overcommitted() {
    return Math.max(0, peakBytes - capacity);
  }

  EngineReport report(Instant now) {
    sequence++;
    List<ReplicaStatus> statuses = new ArrayList<>();
    replicas.forEach(
        (replica, loaded) ->
            statuses.add(
                new ReplicaStatus(
                    replica,
                    loaded.model(),
                    loaded.version(),
                    loaded.phase(now),
                    loaded.bytes(),
                    0,
                    List.copyOf(loaded.adapters()))));
    return new EngineReport(
        id,
        Incarnation.of(incarnation),
        highest,
        leaving,
        0,
        0,
        used(),
        statuses,
        numbersReports ? sequence : 0);
  }
}
