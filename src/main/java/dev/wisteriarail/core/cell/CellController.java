package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.OrderId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.peer.Demand;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.core.placement.PlacementPlanner;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Controls one cell where this node's claim is in force: decides, records, reads back, then acts.
 *
 * <p>Puts the parts of the control together: {@link ClaimKeeper} claims, {@link Decisions} decides,
 * {@link PendingRecords} appends, {@link Reconciler} orders.
 *
 * <p>Life cycle: one per node; idle while another node holds the claim. Not thread-safe; owned by
 * the node's core.
 */
public final class CellController {

  private final NodeSettings settings;
  private final CellLedger ledger;
  private final Closures closures;
  private final PlacementPlanner planner;
  private final DemandBoard demands = new DemandBoard();
  private final PendingRecords pending;
  private final OrderBook orders;
  private final Sightings sightings;
  private final RunnerGates gates;
  private final Predecessors predecessors;
  private final ClaimKeeper claims;
  private final Reconciler reconciler;
  private final AdapterLoader adapters;
  private final Decisions decisions;
  private final Succession succession;
  private final OutageRelay relay;
  private final PauseGuard pauses;
  private final Set<ReplicaId> ready = new TreeSet<>();
  private Optional<Instant> nextPlan = Optional.empty();
  private Optional<Instant> nextClaim = Optional.empty();
  private Instant gainedAt = Instant.MIN;
  private FencingNumber highestFence = FencingNumber.NONE;
  private Optional<Instant> drainingSince = Optional.empty();

  private CellController(
      NodeSettings settings, CellLedger ledger, Closures closures, PlacementPlanner planner) {
    this.settings = settings;
    this.ledger = ledger;
    this.closures = closures;
    this.planner = planner;
    pending = PendingRecords.create(settings);
    orders = OrderBook.create(settings);
    sightings = Sightings.create(settings.timings().cells().reportLag());
    gates = RunnerGates.create(settings.timings().cells(), sightings);
    predecessors = Predecessors.create(settings, ledger, closures, gates);
    claims = ClaimKeeper.create(settings, ledger, closures, pending);
    reconciler = new Reconciler(settings, ledger, pending, orders, sightings, gates, predecessors);
    adapters = new AdapterLoader(ledger, orders, sightings, gates);
    succession = new Succession(settings, ledger, closures, pending, sightings, gates);
    relay = new OutageRelay(ledger, closures, pending);
    MemoryAccount memory = new MemoryAccount(ledger, pending, sightings, gates, succession);
    decisions =
        new Decisions(settings, ledger, pending, sightings, memory, demands, planner, succession);
    pauses = PauseGuard.create(settings.timings().suspectAfter());
  }

  /** Returns the controller of a node that holds no claim yet. */
  public static CellController create(
      NodeSettings settings, CellLedger ledger, Closures closures, PlacementPlanner planner) {
    return new CellController(settings, ledger, closures, planner);
  }

  // Updates

  /** Takes what a node's callers want. */
  public void acceptDemand(NodeId node, List<Demand> wanted, Instant now) {
    if (demands.accept(node, wanted)) {
      nextPlan = Optional.of(now);
    }
    for (Demand demand : wanted) {
      if (demand.arrivals() > 0) {
        planner.recordArrivals(demand.model(), demand.arrivals(), now);
      }
    }
  }

  /** Takes a record that was read back from the log. */
  public void acceptRecord(LogRecord logged, Surroundings around, Step step) {
    pending.acceptReadBack(logged.id());
    Optional<Claim> before = ledger.claim();
    boolean controlled = isController();
    boolean valid = ledger.apply(logged);
    if (!valid) {
      return;
    }
    if (logged.body() instanceof RecordBody.ClaimRecorded) {
      acceptClaim(before, around, step);
    }
    if (controlled != isController()) {
      acceptControl(step);
    }
    if (logged.body() instanceof RecordBody.ClaimEnded) {
      predecessors.acceptChange(step.now());
    }
    if (logged.body() instanceof RecordBody.ReplicaClosed closed) {
      sightings.retain(id -> !id.equals(closed.replica()));
      ready.remove(closed.replica());
    }
    if (isController()) {
      nextPlan = Optional.of(step.now());
      decisions.acceptRecord(logged.body(), step);
    }
  }

  private void acceptClaim(Optional<Claim> before, Surroundings around, Step step) {
    pending.clear();
    relay.reset();
    ledger.claim().ifPresent(claim -> closures.noteNode(claim.holder(), step.now()));
    boolean contested =
        before
            .filter(old -> !old.holder().equals(ledger.claim().orElseThrow().holder()))
            .filter(old -> !closures.isClosed(old.holder(), old.incarnation(), step.now()))
            .filter(old -> around.membership().isLive(old.holder(), step.now()))
            .isPresent();
    if (contested) {
      claims.acceptContest(step.now());
    }
    if (isController()) {
      gates.reset();
      gainedAt = step.now();
      predecessors.acceptChange(step.now());
      succession.acceptControl(step.now());
      decisions.reset();
      nextPlan = Optional.of(step.now());
    }
  }

  private void acceptControl(Step step) {
    if (isController()) {
      step.log(EventCode.CONTROL_GAINED, "cell", settings.cell(), "fence", ledger.fence());
      return;
    }
    EventCode code =
        ledger.claim().isPresent() ? EventCode.CONTROL_LOST : EventCode.CONTROL_RELEASED;
    step.log(code, "cell", settings.cell(), "fence", ledger.fence());
    pending.clear();
  }

  /** Takes what is known of an append. */
  public void acceptAppend(RecordId record, AppendOutcome outcome, Instant now) {
    boolean claiming = pending.any(RecordBody.ClaimRecorded.class::isInstance);
    pending.acceptAnswer(record, outcome);
    if (claiming && !pending.any(RecordBody.ClaimRecorded.class::isInstance)) {
      claims.acceptRefusal(now);
    }
  }

  /** Takes what is known of an engine order. */
  public void acceptOrder(OrderId order, OrderOutcome outcome, Step step) {
    Optional<OrderBook.Sent> found = orders.accept(order, outcome, step.now());
    if (found.isEmpty()) {
      return;
    }
    OrderBook.Sent sent = found.get();
    nextPlan = Optional.of(step.now());
    step.emit(new Effect.RequestReport(sent.runner()));
    if (sent.body() instanceof EngineOrder.RaiseFence) {
      gates.acceptRaised(sent.runner(), outcome, step);
    }
    logFailure(sent, outcome, step);
    if (sent.isLoad() && outcome instanceof OrderOutcome.Failed) {
      gates.acceptRefusal(sent.runner(), step);
    }
  }

  private static void logFailure(OrderBook.Sent sent, OrderOutcome outcome, Step step) {
    Object subject = sent.replica().isPresent() ? sent.replica().get() : sent.runner();
    switch (outcome) {
      case OrderOutcome.Done done -> {}
      case OrderOutcome.Fenced fenced ->
          step.log(EventCode.ORDER_FENCED, "replica", subject, "highest", fenced.highest());
      case OrderOutcome.Failed failed ->
          step.log(EventCode.ORDER_FAILED, "replica", subject, "reason", failed.reason());
      case OrderOutcome.Unknown unknown ->
          step.log(EventCode.ORDER_FAILED, "replica", subject, "reason", unknown.reason());
    }
  }

  /** Takes an engine's report. */
  public void acceptReport(EngineReport report, Step step) {
    Sightings.News news = sightings.accept(report, step.now());
    if (news == Sightings.News.STALE) {
      return;
    }
    if (news == Sightings.News.CHANGED) {
      nextPlan = Optional.of(step.now());
    }
    decisions.acceptReport(report, step.now());
    for (ReplicaStatus status : report.replicas()) {
      if (status.phase() == ReplicaPhase.READY && ready.add(status.replica()) && isController()) {
        step.log(EventCode.REPLICA_READY, "replica", status.replica(), "runner", report.runner());
      }
    }
  }

  /** Takes the highest fencing number of the cell that a peer has read. */
  public void acceptPeerFence(FencingNumber fence) {
    highestFence = fence.compareTo(highestFence) > 0 ? fence : highestFence;
  }

  /** Takes decisions that the controller could not read back from the log. */
  public void acceptOutageRecords(
      NodeId from, Incarnation incarnation, PeerMessage.OutageRecords message, Step step) {
    relay.acceptRecords(from, incarnation, message, step);
  }

  /** Takes a peer's word that it keeps decisions that it was told. */
  public void acceptOutageRecordsKept(
      NodeId from, Incarnation incarnation, PeerMessage.OutageRecordsKept message, Instant now) {
    relay.acceptKept(from, incarnation, message);
    nextPlan = Optional.of(now);
  }

  /** Gives control up as soon as no order is under way. */
  public void drain(Instant now) {
    drainingSince = drainingSince.or(() -> Optional.of(now));
  }

  /** Claims the cell, orders or plans, where any is due. */
  public void advance(Step step, Surroundings around) {
    pauses.advance(step.now());
    nextClaim = Optional.empty();
    closures.acceptMessage(settings.node(), settings.incarnation(), step.now());
    if (pauses.isBlind(around.log(), step.now())) {
      nextPlan = Optional.of(step.now().plus(settings.timings().plan()));
      return;
    }
    pending.retry(step);
    if (!isController()) {
      claim(step, around);
    } else if (isSuperseded()) {
      nextPlan = Optional.of(step.now().plus(settings.timings().plan()));
    } else if (drainingSince.isPresent()) {
      release(step);
    } else {
      control(step, around);
    }
  }

  private void claim(Step step, Surroundings around) {
    succession.endEarlier(orders, step);
    if (drainingSince.isEmpty() && !around.log().isDown(step.now())) {
      List<Successor> line = succession.line(around.membership(), step.now());
      claims.advance(step, around.membership(), line);
      nextClaim = claims.nextWakeUp(around.membership(), step.now());
    }
  }

  private void release(Step step) {
    for (OrderBook.Sent late : orders.expire(step.now())) {
      logFailure(late, new OrderOutcome.Unknown("no answer"), step);
    }
    boolean releasing = pending.any(RecordBody.ClaimReleased.class::isInstance);
    if (!releasing && pending.isEmpty() && !orders.isUncertain(step.now())) {
      pending.append(new RecordBody.ClaimReleased(settings.cell(), ledger.fence()), step);
    }
  }

  private void control(Step step, Surroundings around) {
    for (OrderBook.Sent late : orders.expire(step.now())) {
      logFailure(late, new OrderOutcome.Unknown("no answer"), step);
    }
    relay.advance(step, around);
    if (nextPlan.isPresent() && step.now().isBefore(nextPlan.get())) {
      return;
    }
    nextPlan = Optional.of(step.now().plus(settings.timings().plan()));
    succession.advance(step, around);
    reconciler.advance(around.configuration(), step);
    adapters.advance(around.configuration(), step);
    demands.retain(node -> around.membership().isLive(node, step.now()));
    if (isPrepared(around, step.now())) {
      decisions.advance(step, around);
    }
    relay.advance(step, around);
  }

  /** Returns whether each runner has taken the fencing number, or had time enough to do so. */
  private boolean isPrepared(Surroundings around, Instant now) {
    boolean waited = !now.isBefore(gainedAt.plus(settings.timings().cells().fenceWait()));
    return waited
        || around.configuration().runners().values().stream()
            .filter(runner -> runner.role() == RunnerRole.MODEL)
            .map(RunnerSpec::id)
            .filter(around.runners()::isUsable)
            .allMatch(gates::wasTried);
  }

  /** Returns whether a peer has read a claim after this node's. */
  private boolean isSuperseded() {
    return highestFence.compareTo(ledger.fence()) > 0;
  }

  // Accessors

  /** Returns whether this run of this node holds the claim in force. */
  public boolean isController() {
    return ledger
        .claim()
        .filter(claim -> claim.isHeldBy(settings.node(), settings.incarnation()))
        .isPresent();
  }

  /** Returns whether a replica may get new requests, as far as the log tells. */
  public boolean isRoutable(ReplicaId replica) {
    return ledger.reservation(replica).filter(held -> !held.unloading()).isPresent();
  }

  /** Returns whether a draining node has nothing left to hand over, or has waited long enough. */
  public boolean isDrained(Instant now) {
    return !isController()
        || drainingSince
            .filter(since -> !now.isBefore(since.plus(settings.timings().cells().drainLimit())))
            .isPresent();
  }

  /** Returns when the controller has to act without another event. */
  public Optional<Instant> nextWakeUp() {
    if (drainingSince.isPresent()) {
      return Optional.empty();
    }
    return isController() ? nextPlan : nextClaim;
  }
}
