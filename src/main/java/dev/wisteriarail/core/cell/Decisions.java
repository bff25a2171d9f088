package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.placement.PlacedPhase;
import dev.wisteriarail.core.placement.PlacedReplica;
import dev.wisteriarail.core.placement.PlacementAction;
import dev.wisteriarail.core.placement.PlacementPlanner;
import dev.wisteriarail.core.placement.PlacementView;
import dev.wisteriarail.core.routing.RunnerTable;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides what is loaded and unloaded: asks the planner, checks its proposals against reservations
 * and limits, and appends those that pass.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class Decisions {

  private final NodeSettings settings;
  private final CellLedger ledger;
  private final PendingRecords pending;
  private final Sightings sightings;
  private final MemoryAccount memory;
  private final DemandBoard demands;
  private final PlacementPlanner planner;
  private final Succession succession;
  private final Map<ReplicaId, Instant> lastUsed = new TreeMap<>();
  private final Map<RunnerId, Instant> lostSince = new TreeMap<>();
  private long sequence;

  Decisions(
      NodeSettings settings,
      CellLedger ledger,
      PendingRecords pending,
      Sightings sightings,
      MemoryAccount memory,
      DemandBoard demands,
      PlacementPlanner planner,
      Succession succession) {
    this.settings = settings;
    this.ledger = ledger;
    this.pending = pending;
    this.sightings = sightings;
    this.memory = memory;
    this.demands = demands;
    this.planner = planner;
    this.succession = succession;
  }

  // Updates

  /** Forgets which runners were out of use; this node gained control. */
  void reset() {
    lostSince.clear();
  }

  /** Notes which replicas are in use. */
  void acceptReport(EngineReport report, Instant now) {
    for (ReplicaStatus status : report.replicas()) {
      if (status.activeRequests() > 0) {
        lastUsed.put(status.replica(), now);
      }
    }
  }

  /** Notes a decision that came into force. */
  void acceptRecord(RecordBody body, Step step) {
    switch (body) {
      case RecordBody.LoadDecided load -> {
        lastUsed.put(load.replica(), step.now());
        step.log(
            EventCode.LOAD_DECIDED,
            "replica",
            load.replica(),
            "runner",
            load.runner(),
            "fence",
            load.fence());
      }
      case RecordBody.UnloadDecided unload ->
          step.log(EventCode.UNLOAD_DECIDED, "replica", unload.replica());
      case RecordBody.ReplicaClosed closed -> {
        lastUsed.remove(closed.replica());
        step.log(EventCode.REPLICA_CLOSED, "replica", closed.replica(), "reason", closed.reason());
      }
      default -> {}
    }
  }

  /** Decides what is due. */
  void advance(Step step, Surroundings around) {
    if (around.log().isDown(step.now())) {
      pending.withdraw(this::isUnwanted);
    }
    for (Reservation held : ledger.reservations()) {
      if (!held.unloading() && isForsaken(held, around, step.now())) {
        recordUnload(held.replica(), step);
      }
    }
    PlacementView view = view(around, step.now());
    for (PlacementAction action : planner.plan(view, step.now())) {
      switch (action) {
        case PlacementAction.Load load -> recordLoad(load, around, step);
        case PlacementAction.Unload unload -> recordUnload(unload.replica(), step);
      }
    }
  }

  /** Returns whether a body decides a load that nobody waits for any longer. */
  private boolean isUnwanted(RecordBody body) {
    return body instanceof RecordBody.LoadDecided load
        && demands.merged().stream()
            .noneMatch(wanted -> wanted.model().equals(load.model()) && wanted.waiting() > 0);
  }

  /** Returns whether a replica can't be of use where it is. */
  private boolean isForsaken(Reservation held, Surroundings around, Instant now) {
    RunnerSpec runner = around.configuration().runners().get(held.runner());
    boolean removed =
        runner == null
            || runner.role() != RunnerRole.MODEL
            || !around.configuration().models().containsKey(held.model());
    boolean outgrown =
        !removed && around.configuration().models().get(held.model()).memoryBytes() > held.bytes();
    boolean leaving = sightings.report(held.runner()).filter(EngineReport::leaving).isPresent();
    return removed || outgrown || leaving || isLost(held.runner(), around.runners(), now);
  }

  private boolean isLost(RunnerId runner, RunnerTable runners, Instant now) {
    if (runners.isUsable(runner)) {
      lostSince.remove(runner);
      return false;
    }
    Instant since = lostSince.computeIfAbsent(runner, id -> now);
    return !now.isBefore(since.plus(settings.timings().cells().runnerLostAfter()));
  }

  private void recordLoad(PlacementAction.Load load, Surroundings around, Step step) {
    ModelSpec model = around.configuration().models().get(load.model());
    Map<RunnerId, Long> free = memory.free(around.configuration(), around.runners(), step.now());
    boolean fits =
        model != null
            && free.getOrDefault(load.runner(), 0L) >= model.memoryBytes()
            && countReplicas(model.id(), step.now())
                    + countHidden(around.configuration(), step.now())
                < model.maxReplicas();
    if (!fits) {
      return;
    }
    sequence++;
    ReplicaId replica = ReplicaId.of(load.model() + "." + ledger.fence() + "." + sequence);
    pending.append(
        new RecordBody.LoadDecided(
            settings.cell(),
            ledger.fence(),
            replica,
            load.model(),
            model.version(),
            load.runner(),
            model.memoryBytes()),
        step);
  }

  private void recordUnload(ReplicaId replica, Step step) {
    boolean decided =
        ledger.reservation(replica).filter(held -> !held.unloading()).isEmpty()
            || pending.any(body -> unloads(body, replica));
    if (!decided) {
      pending.append(new RecordBody.UnloadDecided(settings.cell(), ledger.fence(), replica), step);
    }
  }

  // Helpers

  private PlacementView view(Surroundings around, Instant now) {
    List<PlacedReplica> placed = new ArrayList<>();
    ledger.reservations().stream()
        .filter(held -> isCounted(held, now))
        .forEach(held -> placed.add(place(held, now)));
    for (RecordBody.LoadDecided load : pending.loads()) {
      placed.add(place(load, now));
    }
    Configuration configuration = around.configuration();
    return new PlacementView(
        configuration, demands.merged(), placed, memory.free(configuration, around.runners(), now));
  }

  private PlacedReplica place(Reservation held, Instant now) {
    Optional<ReplicaStatus> status = sightings.status(held.runner(), held.replica());
    boolean isReady = status.filter(seen -> seen.phase() == ReplicaPhase.READY).isPresent();
    PlacedPhase whileKept = isReady ? PlacedPhase.READY : PlacedPhase.LOADING;
    boolean leaves = held.unloading() || pending.any(body -> unloads(body, held.replica()));
    return new PlacedReplica(
        held.replica(),
        held.model(),
        held.version(),
        held.runner(),
        held.bytes(),
        leaves ? PlacedPhase.UNLOADING : whileKept,
        status.map(ReplicaStatus::activeRequests).orElse(0),
        lastUsed.computeIfAbsent(held.replica(), id -> now));
  }

  private static PlacedReplica place(RecordBody.LoadDecided load, Instant now) {
    return new PlacedReplica(
        load.replica(),
        load.model(),
        load.version(),
        load.runner(),
        load.bytes(),
        PlacedPhase.LOADING,
        0,
        now);
  }

  /** Counts a model's decided replicas; each counts until it is gone. */
  private long countReplicas(ModelId model, Instant now) {
    long decided =
        ledger.reservations().stream()
            .filter(held -> held.model().equals(model))
            .filter(held -> isCounted(held, now))
            .count();
    long appended = pending.loads().stream().filter(load -> load.model().equals(model)).count();
    return decided + appended;
  }

  /** Counts a replica that an earlier controller may have placed without this node's knowledge. */
  private long countHidden(Configuration configuration, Instant now) {
    boolean hidden =
        succession.isBlind()
            && configuration.runners().values().stream()
                .filter(runner -> runner.role() == RunnerRole.MODEL)
                .anyMatch(runner -> !succession.isSafe(runner, now));
    return hidden ? 1 : 0;
  }

  /** Returns whether a replica counts: its runner is not out of reach for the longest bound. */
  private boolean isCounted(Reservation held, Instant now) {
    Instant since = lostSince.getOrDefault(held.runner(), now);
    return !held.unloading() || now.isBefore(since.plus(settings.timings().cells().closeAfter()));
  }

  private static boolean unloads(RecordBody body, ReplicaId replica) {
    return body instanceof RecordBody.UnloadDecided unload && unload.replica().equals(replica);
  }
}
