package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.peer.Demand;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * State of one planning round: the indexed view and the actions proposed so far.
 *
 * <p>Life cycle: one per round. Not thread-safe.
 */
final class PlanningRound {

  private final Configuration configuration;
  private final Instant now;
  private final Map<ModelId, Demand> demands = new LinkedHashMap<>();
  private final Map<ModelId, List<PlacedReplica>> byModel = new LinkedHashMap<>();
  private final Map<RunnerId, List<PlacedReplica>> byRunner = new HashMap<>();
  private final Map<RunnerId, Long> freeBytes;
  private final Map<RunnerId, Long> freeingBytes = new HashMap<>();
  private final Set<ReplicaId> unloading = new HashSet<>();
  private final List<PlacementAction> actions = new ArrayList<>();

  private PlanningRound(PlacementView view, Instant now) {
    this.now = now;
    configuration = view.configuration();
    freeBytes = new LinkedHashMap<>(view.freeBytes());
    view.demands().forEach(demand -> demands.put(demand.model(), demand));
    for (PlacedReplica replica : view.replicas()) {
      byModel.computeIfAbsent(replica.model(), id -> new ArrayList<>()).add(replica);
      byRunner.computeIfAbsent(replica.runner(), id -> new ArrayList<>()).add(replica);
      if (replica.phase() == PlacedPhase.UNLOADING) {
        freeingBytes.merge(replica.runner(), replica.bytes(), Long::sum);
      }
    }
  }

  static PlanningRound create(PlacementView view, Instant now) {
    return new PlanningRound(view, now);
  }

  // Updates

  /** Proposes a load and subtracts its memory from the runner's free memory. */
  void proposeLoad(ModelId model, RunnerId runner, long bytes, String reason) {
    freeBytes.merge(runner, -bytes, Long::sum);
    actions.add(new PlacementAction.Load(model, runner, reason));
  }

  /** Proposes an unload; the memory counts as being freed, not as free. */
  void proposeUnload(PlacedReplica replica, String reason) {
    if (unloading.add(replica.replica())) {
      freeingBytes.merge(replica.runner(), replica.bytes(), Long::sum);
      actions.add(new PlacementAction.Unload(replica.replica(), reason));
    }
  }

  /** Reserves memory that is free or being freed on a runner for a load in a later round. */
  void reserve(RunnerId runner, long bytes) {
    long fromFree = Math.min(bytes, Math.max(0, freeBytes(runner)));
    freeBytes.merge(runner, -fromFree, Long::sum);
    freeingBytes.merge(runner, fromFree - bytes, Long::sum);
  }

  // Accessors

  Configuration configuration() {
    return configuration;
  }

  Instant now() {
    return now;
  }

  List<PlacementAction> actions() {
    return actions;
  }

  /** Returns the runners that may get new work, with their free memory in bytes. */
  Map<RunnerId, Long> runners() {
    return freeBytes;
  }

  Iterable<Demand> demands() {
    return demands.values();
  }

  Demand demand(ModelId model) {
    return demands.get(model);
  }

  List<PlacedReplica> replicas(ModelId model) {
    return byModel.getOrDefault(model, List.of());
  }

  Iterable<List<PlacedReplica>> replicasByModel() {
    return byModel.values();
  }

  List<PlacedReplica> replicasOn(RunnerId runner) {
    return byRunner.getOrDefault(runner, List.of());
  }

  long freeBytes(RunnerId runner) {
    return freeBytes.getOrDefault(runner, 0L);
  }

  long freeingBytes(RunnerId runner) {
    return Math.max(0, freeingBytes.getOrDefault(runner, 0L));
  }

  /** Returns whether a replica is neither being unloaded nor proposed for unloading. */
  boolean isKept(PlacedReplica replica) {
    return replica.phase() != PlacedPhase.UNLOADING && !unloading.contains(replica.replica());
  }

  /** Returns whether a replica is ready, has no requests, and its model has no demand. */
  boolean isIdle(PlacedReplica replica) {
    return replica.phase() == PlacedPhase.READY
        && replica.activeRequests() == 0
        && !demands.containsKey(replica.model())
        && isKept(replica);
  }
}
