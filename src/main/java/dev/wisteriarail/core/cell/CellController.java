package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.OrderId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.membership.Membership;
import dev.wisteriarail.core.peer.Demand;
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
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Controls one cell where this node's claim is in force: decides, records, reads back, then acts.
 *
 * <p>Life cycle: one per node; idle while another node holds the claim. Not thread-safe; owned by
 * the node's core.
 */
public final class CellController {

  private final NodeSettings settings;
  private final CellLedger ledger;
  private final PlacementPlanner planner;
  private final DemandBoard demands = new DemandBoard();
  private final Map<RecordId, RecordBody> pending = new TreeMap<>();
  private final Map<OrderId, ReplicaId> orders = new TreeMap<>();
  private final Map<ReplicaId, Instant> lastUsed = new TreeMap<>();
  private final Set<ReplicaId> ready = new TreeSet<>();
  private Optional<Instant> nextPlan = Optional.empty();
  private long sequence;

  private CellController(NodeSettings settings, CellLedger ledger, PlacementPlanner planner) {
    this.settings = settings;
    this.ledger = ledger;
    this.planner = planner;
  }

  /** Returns the controller of a node that holds no claim yet. */
  public static CellController create(
      NodeSettings settings, CellLedger ledger, PlacementPlanner planner) {
    return new CellController(settings, ledger, planner);
  }

  // Updates

  /** Takes what a node's callers want. */
  public void acceptDemand(NodeId node, List<Demand> wanted, Instant now) {
    demands.accept(node, wanted);
    for (Demand demand : wanted) {
      if (demand.arrivals() > 0) {
        planner.recordArrivals(demand.model(), demand.arrivals(), now);
      }
    }
    if (nextPlan.isEmpty() || wanted.stream().anyMatch(this::isUnplaced)) {
      nextPlan = Optional.of(now);
    }
  }

  private boolean isUnplaced(Demand demand) {
    return demand.waiting() > 0 && countReplicas(demand.model()) == 0;
  }

  /** Takes a record that was read back from the log and acts on it. */
  public void acceptRecord(LogRecord logged, Step step) {
    pending.remove(logged.id());
    boolean controlledBefore = isController();
    boolean valid = ledger.apply(logged);
    if (!controlledBefore && isController()) {
      step.log(EventCode.CONTROL_GAINED, "cell", settings.cell(), "fence", ledger.fence());
      ledger.reservations().forEach(held -> orderAgain(held, step));
    }
    if (controlledBefore && !isController()) {
      step.log(EventCode.CONTROL_LOST, "cell", settings.cell(), "fence", ledger.fence());
      pending.clear();
    }
    if (valid && isController()) {
      act(logged.body(), step);
    }
  }

  /** Takes what is known of an append. */
  public void acceptAppend(RecordId record, AppendOutcome outcome) {
    if (outcome instanceof AppendOutcome.NotAppended) {
      pending.remove(record);
    }
  }

  /** Takes what is known of an engine order. */
  public void acceptOrder(OrderId order, RunnerId runner, OrderOutcome outcome, Step step) {
    ReplicaId replica = orders.remove(order);
    if (replica == null) {
      return;
    }
    switch (outcome) {
      case OrderOutcome.Done done -> step.emit(new Effect.RequestReport(runner));
      case OrderOutcome.Fenced fenced ->
          step.log(EventCode.ORDER_FENCED, "replica", replica, "highest", fenced.highest());
      case OrderOutcome.Failed failed -> {
        step.log(EventCode.ORDER_FAILED, "replica", replica, "reason", failed.reason());
        close(replica, failed.reason(), step);
      }
      case OrderOutcome.Unknown unknown -> {
        step.log(EventCode.ORDER_FAILED, "replica", replica, "reason", unknown.reason());
        ledger.reservation(replica).ifPresent(held -> orderAgain(held, step));
      }
    }
  }

  /** Takes an engine's report. */
  public void acceptReport(EngineReport report, Step step) {
    for (ReplicaStatus status : report.replicas()) {
      if (status.activeRequests() > 0) {
        lastUsed.put(status.replica(), step.now());
      }
      if (status.phase() == ReplicaPhase.READY && ready.add(status.replica()) && isController()) {
        step.log(EventCode.REPLICA_READY, "replica", status.replica(), "runner", report.runner());
      }
    }
    if (isController()) {
      closeUnloaded(report, step);
    }
  }

  /** Claims the cell or plans, where either is due. */
  public void advance(
      Step step, Configuration configuration, Membership membership, RunnerTable runners) {
    if (!isController()) {
      claimIfFree(step, membership);
      return;
    }
    if (nextPlan.isPresent() && step.now().isBefore(nextPlan.get())) {
      return;
    }
    nextPlan = Optional.of(step.now().plus(settings.timings().plan()));
    demands.retain(node -> membership.isLive(node, step.now()));
    PlacementView view = view(configuration, runners, step.now());
    for (PlacementAction action : planner.plan(view, step.now())) {
      record(action, view, step);
    }
  }

  // Claims

  private void claimIfFree(Step step, Membership membership) {
    boolean claiming =
        pending.values().stream().anyMatch(RecordBody.ClaimRecorded.class::isInstance);
    boolean held =
        ledger.claim().filter(claim -> isHeld(claim, membership, step.now())).isPresent();
    if (claiming || held || membership.rank(step.now()) > 0) {
      return;
    }
    append(
        new RecordBody.ClaimRecorded(
            settings.cell(), settings.node(), settings.incarnation(), ledger.fence()),
        step);
  }

  private boolean isHeld(Claim claim, Membership membership, Instant now) {
    boolean ownEarlierRun =
        claim.holder().equals(settings.node())
            && !claim.incarnation().equals(settings.incarnation());
    return !ownEarlierRun && membership.isLive(claim.holder(), now);
  }

  // Decisions

  private void record(PlacementAction action, PlacementView view, Step step) {
    switch (action) {
      case PlacementAction.Load load -> recordLoad(load, view, step);
      case PlacementAction.Unload unload -> recordUnload(unload.replica(), step);
    }
  }

  private void recordLoad(PlacementAction.Load load, PlacementView view, Step step) {
    ModelSpec model = view.configuration().models().get(load.model());
    boolean fits =
        model != null
            && view.freeBytes().getOrDefault(load.runner(), 0L) >= model.memoryBytes()
            && countReplicas(load.model()) < model.maxReplicas();
    if (!fits) {
      return;
    }
    ReplicaId replica = ReplicaId.of(load.model() + "." + ledger.fence() + "." + nextSequence());
    append(
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
            || pending.values().stream()
                .anyMatch(
                    body ->
                        body instanceof RecordBody.UnloadDecided unload
                            && unload.replica().equals(replica));
    if (!decided) {
      append(new RecordBody.UnloadDecided(settings.cell(), ledger.fence(), replica), step);
    }
  }

  private void close(ReplicaId replica, String reason, Step step) {
    append(new RecordBody.ReplicaClosed(settings.cell(), ledger.fence(), replica, reason), step);
  }

  private void closeUnloaded(EngineReport report, Step step) {
    Set<ReplicaId> present = new TreeSet<>();
    report.replicas().forEach(status -> present.add(status.replica()));
    for (Reservation held : List.copyOf(ledger.reservations())) {
      boolean gone =
          held.runner().equals(report.runner())
              && held.unloading()
              && !present.contains(held.replica())
              && !orders.containsValue(held.replica());
      if (gone && pending.values().stream().noneMatch(body -> closes(body, held.replica()))) {
        close(held.replica(), "unloading was seen", step);
      }
    }
  }

  // Actions

  private void act(RecordBody body, Step step) {
    switch (body) {
      case RecordBody.LoadDecided load -> {
        step.log(
            EventCode.LOAD_DECIDED,
            "replica",
            load.replica(),
            "runner",
            load.runner(),
            "fence",
            load.fence());
        lastUsed.put(load.replica(), step.now());
        ledger.reservation(load.replica()).ifPresent(held -> orderAgain(held, step));
      }
      case RecordBody.UnloadDecided unload -> {
        step.log(EventCode.UNLOAD_DECIDED, "replica", unload.replica());
        ledger.reservation(unload.replica()).ifPresent(held -> orderAgain(held, step));
      }
      case RecordBody.ReplicaClosed closed ->
          step.log(
              EventCode.REPLICA_CLOSED, "replica", closed.replica(), "reason", closed.reason());
      default -> {}
    }
  }

  private void orderAgain(Reservation held, Step step) {
    EngineOrder body =
        held.unloading()
            ? new EngineOrder.UnloadReplica(held.replica())
            : new EngineOrder.LoadReplica(
                held.replica(), held.model(), held.version(), held.bytes());
    OrderId order =
        OrderId.of(settings.node() + "." + settings.incarnation() + ".o" + nextSequence());
    orders.put(order, held.replica());
    step.emit(new Effect.OrderEngine(order, held.runner(), ledger.fence(), body));
  }

  private void append(RecordBody body, Step step) {
    RecordId record =
        RecordId.of(settings.node() + "." + settings.incarnation() + ".r" + nextSequence());
    pending.put(record, body);
    step.emit(new Effect.Append(record, body));
  }

  // Accessors

  /** Returns whether this run of this node holds the claim in force. */
  public boolean isController() {
    return ledger
        .claim()
        .filter(claim -> claim.holder().equals(settings.node()))
        .filter(claim -> claim.incarnation().equals(settings.incarnation()))
        .isPresent();
  }

  /** Returns whether a replica may get new requests, as far as the log tells. */
  public boolean isRoutable(ReplicaId replica) {
    return ledger.reservation(replica).filter(held -> !held.unloading()).isPresent();
  }

  /** Returns when the controller has to act without another event. */
  public Optional<Instant> nextWakeUp() {
    return isController() ? nextPlan : Optional.empty();
  }

  // Helpers

  private PlacementView view(Configuration configuration, RunnerTable runners, Instant now) {
    List<PlacedReplica> placed = new ArrayList<>();
    Map<RunnerId, Long> free = new TreeMap<>();
    for (RunnerSpec runner : configuration.runners().values()) {
      if (runner.role() == RunnerRole.MODEL && runners.isUsable(runner.id())) {
        free.put(runner.id(), runner.memoryBytes());
      }
    }
    for (Reservation held : ledger.reservations()) {
      free.computeIfPresent(held.runner(), (id, bytes) -> bytes - held.bytes());
      placed.add(place(held, runners, now));
    }
    for (RecordBody body : pending.values()) {
      if (body instanceof RecordBody.LoadDecided load) {
        free.computeIfPresent(load.runner(), (id, bytes) -> bytes - load.bytes());
        placed.add(
            new PlacedReplica(
                load.replica(),
                load.model(),
                load.version(),
                load.runner(),
                load.bytes(),
                PlacedPhase.LOADING,
                0,
                now));
      }
    }
    return new PlacementView(configuration, demands.merged(), placed, free);
  }

  private PlacedReplica place(Reservation held, RunnerTable runners, Instant now) {
    Optional<ReplicaStatus> status =
        runners.report(held.runner()).stream()
            .flatMap(report -> report.replicas().stream())
            .filter(reported -> reported.replica().equals(held.replica()))
            .findFirst();
    boolean isReady = status.filter(reported -> reported.phase() == ReplicaPhase.READY).isPresent();
    PlacedPhase whileKept = isReady ? PlacedPhase.READY : PlacedPhase.LOADING;
    return new PlacedReplica(
        held.replica(),
        held.model(),
        held.version(),
        held.runner(),
        held.bytes(),
        held.unloading() ? PlacedPhase.UNLOADING : whileKept,
        status.map(ReplicaStatus::activeRequests).orElse(0),
        lastUsed.computeIfAbsent(held.replica(), id -> now));
  }

  private long countReplicas(ModelId model) {
    long decided =
        ledger.reservations().stream().filter(held -> held.model().equals(model)).count();
    long waiting =
        pending.values().stream()
            .filter(
                body -> body instanceof RecordBody.LoadDecided load && load.model().equals(model))
            .count();
    return decided + waiting;
  }

  private static boolean closes(RecordBody body, ReplicaId replica) {
    return body instanceof RecordBody.ReplicaClosed closed && closed.replica().equals(replica);
  }

  private long nextSequence() {
    sequence++;
    return sequence;
  }
}
