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
 * Controls one cell while this node's claim is in force: appends each decision to the log, reads it
 * back, and only then acts on it.
 *
 * <p>Coordinates the other classes of this package: {@link CellClaimer} claims the cell, {@link
 * PlacementDecider} makes decisions, {@link PendingRecords} appends them, and {@link Reconciler}
 * sends orders to engines. In a log outage, {@link OutageReplicator} brings decisions into force
 * without the read-back.
 *
 * <p>Life cycle: one per node; idle while another node holds the claim. Not thread-safe; owned by
 * the node's core.
 */
public final class CellController {

  private final NodeSettings settings;
  private final CellState cellState;
  private final ClosedIncarnations closedIncarnations;
  private final PlacementPlanner planner;
  private final DemandAggregator demandAggregator = new DemandAggregator();
  private final PendingRecords pendingRecords;
  private final OrderTracker orderTracker;
  private final ReportTracker reportTracker;
  private final RunnerEligibility eligibility;
  private final PredecessorOrders predecessorOrders;
  private final CellClaimer cellClaimer;
  private final Reconciler reconciler;
  private final AdapterLoader adapterLoader;
  private final PlacementDecider placementDecider;
  private final SuccessionManager successionManager;
  private final OutageReplicator outageReplicator;
  private final PauseDetector pauseDetector;
  private final Set<ReplicaId> readyReplicas = new TreeSet<>();
  private Optional<Instant> nextPlanAt = Optional.empty();
  private Optional<Instant> nextClaimAt = Optional.empty();
  private Instant controlGainedAt = Instant.MIN;
  private FencingNumber highestPeerFence = FencingNumber.NONE;
  private Optional<Instant> drainingSince = Optional.empty();

  private CellController(
      NodeSettings settings,
      CellState cellState,
      ClosedIncarnations closedIncarnations,
      PlacementPlanner planner) {
    this.settings = settings;
    this.cellState = cellState;
    this.closedIncarnations = closedIncarnations;
    this.planner = planner;
    pendingRecords = PendingRecords.create(settings);
    orderTracker = OrderTracker.create(settings);
    reportTracker = ReportTracker.create(settings.timings().cells().reportLag());
    eligibility = RunnerEligibility.create(settings.timings().cells(), reportTracker);
    predecessorOrders =
        PredecessorOrders.create(settings, cellState, closedIncarnations, eligibility);
    cellClaimer = CellClaimer.create(settings, cellState, closedIncarnations, pendingRecords);
    reconciler =
        new Reconciler(
            settings,
            cellState,
            pendingRecords,
            orderTracker,
            reportTracker,
            eligibility,
            predecessorOrders);
    adapterLoader = new AdapterLoader(cellState, orderTracker, reportTracker, eligibility);
    successionManager =
        new SuccessionManager(
            settings, cellState, closedIncarnations, pendingRecords, reportTracker, eligibility);
    outageReplicator = new OutageReplicator(cellState, closedIncarnations, pendingRecords);
    RunnerMemory runnerMemory =
        new RunnerMemory(cellState, pendingRecords, reportTracker, eligibility, successionManager);
    placementDecider =
        new PlacementDecider(
            settings,
            cellState,
            pendingRecords,
            reportTracker,
            runnerMemory,
            demandAggregator,
            planner,
            successionManager);
    pauseDetector = PauseDetector.create(settings.timings().suspectAfter());
  }

  /** Returns a controller that holds no claim yet. */
  public static CellController create(
      NodeSettings settings,
      CellState cellState,
      ClosedIncarnations closedIncarnations,
      PlacementPlanner planner) {
    return new CellController(settings, cellState, closedIncarnations, planner);
  }

  // Updates

  /** Replaces the demand reported by a node; newly waiting requests trigger planning at once. */
  public void acceptDemand(NodeId node, List<Demand> nodeDemands, Instant now) {
    if (demandAggregator.update(node, nodeDemands)) {
      nextPlanAt = Optional.of(now);
    }
    for (Demand demand : nodeDemands) {
      if (demand.arrivals() > 0) {
        planner.recordArrivals(demand.model(), demand.arrivals(), now);
      }
    }
  }

  /** Applies a record that was read from the log. */
  public void acceptRecord(LogRecord logRecord, ControllerContext context, Step step) {
    pendingRecords.removeReadBack(logRecord.id());
    Optional<Claim> previousClaim = cellState.claim();
    boolean wasController = isController();
    boolean valid = cellState.apply(logRecord);
    if (!valid) {
      return;
    }
    if (logRecord.body() instanceof RecordBody.ClaimRecorded) {
      onClaimRecorded(previousClaim, context, step);
    }
    if (wasController != isController()) {
      onControlChanged(step);
    }
    if (logRecord.body() instanceof RecordBody.ClaimEnded) {
      predecessorOrders.onClaimsChanged(step.now());
    }
    if (logRecord.body() instanceof RecordBody.ReplicaClosed closed) {
      reportTracker.retainReplicas(id -> !id.equals(closed.replica()));
      readyReplicas.remove(closed.replica());
    }
    if (isController()) {
      nextPlanAt = Optional.of(step.now());
      placementDecider.onRecordApplied(logRecord.body(), step);
    }
  }

  private void onClaimRecorded(
      Optional<Claim> previousClaim, ControllerContext context, Step step) {
    pendingRecords.clear();
    outageReplicator.reset();
    cellState.claim().ifPresent(claim -> closedIncarnations.addNode(claim.holder(), step.now()));
    boolean contested =
        previousClaim
            .filter(previous -> !previous.holder().equals(cellState.claim().orElseThrow().holder()))
            .filter(
                previous ->
                    !closedIncarnations.isClosed(
                        previous.holder(), previous.incarnation(), step.now()))
            .filter(previous -> context.membership().isLive(previous.holder(), step.now()))
            .isPresent();
    if (contested) {
      cellClaimer.onClaimContested(step.now());
    }
    if (isController()) {
      eligibility.reset();
      controlGainedAt = step.now();
      predecessorOrders.onClaimsChanged(step.now());
      successionManager.onControlGained(step.now());
      placementDecider.reset();
      nextPlanAt = Optional.of(step.now());
    }
  }

  private void onControlChanged(Step step) {
    if (isController()) {
      step.log(EventCode.CONTROL_GAINED, "cell", settings.cell(), "fence", cellState.fence());
      return;
    }
    EventCode code =
        cellState.claim().isPresent() ? EventCode.CONTROL_LOST : EventCode.CONTROL_RELEASED;
    step.log(code, "cell", settings.cell(), "fence", cellState.fence());
    pendingRecords.clear();
  }

  /** Processes the outcome of an append. */
  public void acceptAppendOutcome(RecordId record, AppendOutcome outcome, Instant now) {
    boolean claimPending = pendingRecords.anyMatch(RecordBody.ClaimRecorded.class::isInstance);
    pendingRecords.acceptAppendOutcome(record, outcome);
    if (claimPending && !pendingRecords.anyMatch(RecordBody.ClaimRecorded.class::isInstance)) {
      cellClaimer.onClaimRefused(now);
    }
  }

  /** Processes the outcome of an engine order. */
  public void acceptOrderOutcome(OrderId order, OrderOutcome outcome, Step step) {
    Optional<OrderTracker.SentOrder> found = orderTracker.acceptOutcome(order, outcome, step.now());
    if (found.isEmpty()) {
      return;
    }
    OrderTracker.SentOrder sentOrder = found.get();
    nextPlanAt = Optional.of(step.now());
    step.emit(new Effect.RequestReport(sentOrder.runner()));
    if (sentOrder.body() instanceof EngineOrder.RaiseFence) {
      eligibility.acceptFenceOutcome(sentOrder.runner(), outcome, step);
    }
    logFailure(sentOrder, outcome, step);
    if (sentOrder.isLoad() && outcome instanceof OrderOutcome.Failed) {
      eligibility.onLoadRefused(sentOrder.runner(), step);
    }
  }

  private static void logFailure(
      OrderTracker.SentOrder sentOrder, OrderOutcome outcome, Step step) {
    Object subject =
        sentOrder.replica().isPresent() ? sentOrder.replica().get() : sentOrder.runner();
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

  /** Processes an engine's report. */
  public void acceptReport(EngineReport report, Step step) {
    ReportTracker.ReportUpdate update = reportTracker.acceptReport(report, step.now());
    if (update == ReportTracker.ReportUpdate.STALE) {
      return;
    }
    if (update == ReportTracker.ReportUpdate.CHANGED) {
      nextPlanAt = Optional.of(step.now());
    }
    placementDecider.updateLastUsed(report, step.now());
    for (ReplicaStatus status : report.replicas()) {
      if (status.phase() == ReplicaPhase.READY
          && readyReplicas.add(status.replica())
          && isController()) {
        step.log(EventCode.REPLICA_READY, "replica", status.replica(), "runner", report.runner());
      }
    }
  }

  /** Records the highest fencing number of the cell that a peer has read from the log. */
  public void acceptPeerFence(FencingNumber fence) {
    highestPeerFence = fence.compareTo(highestPeerFence) > 0 ? fence : highestPeerFence;
  }

  /** Processes decisions of the sender that it could not read back from the log. */
  public void acceptOutageRecords(
      NodeId from, Incarnation incarnation, PeerMessage.OutageRecords message, Step step) {
    outageReplicator.acceptRecords(from, incarnation, message, step);
  }

  /** Processes a peer's acknowledgement that it has stored outage records. */
  public void acceptOutageRecordsKept(
      NodeId from, Incarnation incarnation, PeerMessage.OutageRecordsKept message, Instant now) {
    outageReplicator.acceptAcknowledgement(from, incarnation, message);
    nextPlanAt = Optional.of(now);
  }

  /** Starts draining: releases the claim as soon as no order is outstanding or unresolved. */
  public void drain(Instant now) {
    drainingSince = drainingSince.or(() -> Optional.of(now));
  }

  /** Performs what is due: retries appends, claims or releases the cell, or controls it. */
  public void advance(Step step, ControllerContext context) {
    pauseDetector.recordStep(step.now());
    nextClaimAt = Optional.empty();
    closedIncarnations.recordMessage(settings.node(), settings.incarnation(), step.now());
    if (pauseDetector.isStale(context.log(), step.now())) {
      nextPlanAt = Optional.of(step.now().plus(settings.timings().plan()));
      return;
    }
    pendingRecords.retry(step);
    if (!isController()) {
      claimCell(step, context);
    } else if (isSuperseded()) {
      nextPlanAt = Optional.of(step.now().plus(settings.timings().plan()));
    } else if (drainingSince.isPresent()) {
      releaseClaim(step);
    } else {
      controlCell(step, context);
    }
  }

  private void claimCell(Step step, ControllerContext context) {
    successionManager.endEarlierClaims(orderTracker, step);
    if (drainingSince.isEmpty() && !context.log().isDown(step.now())) {
      List<Successor> line = successionManager.chooseLine(context.membership(), step.now());
      cellClaimer.advance(step, context.membership(), line);
      nextClaimAt = cellClaimer.nextWakeUp(context.membership(), step.now());
    }
  }

  private void releaseClaim(Step step) {
    for (OrderTracker.SentOrder expired : orderTracker.expire(step.now())) {
      logFailure(expired, new OrderOutcome.Unknown("no answer"), step);
    }
    boolean releasePending = pendingRecords.anyMatch(RecordBody.ClaimReleased.class::isInstance);
    if (!releasePending
        && pendingRecords.isEmpty()
        && !orderTracker.hasUnresolvedOrders(step.now())) {
      pendingRecords.append(new RecordBody.ClaimReleased(settings.cell(), cellState.fence()), step);
    }
  }

  private void controlCell(Step step, ControllerContext context) {
    for (OrderTracker.SentOrder expired : orderTracker.expire(step.now())) {
      logFailure(expired, new OrderOutcome.Unknown("no answer"), step);
    }
    outageReplicator.advance(step, context);
    if (nextPlanAt.isPresent() && step.now().isBefore(nextPlanAt.get())) {
      return;
    }
    nextPlanAt = Optional.of(step.now().plus(settings.timings().plan()));
    successionManager.advance(step, context);
    reconciler.advance(context.configuration(), step);
    adapterLoader.advance(context.configuration(), step);
    demandAggregator.retainNodes(node -> context.membership().isLive(node, step.now()));
    if (isFencingComplete(context, step.now())) {
      placementDecider.advance(step, context);
    }
    outageReplicator.advance(step, context);
  }

  /**
   * Returns whether each usable runner has answered the order to raise the fencing number, or the
   * wait for the answers has elapsed.
   */
  private boolean isFencingComplete(ControllerContext context, Instant now) {
    boolean waitElapsed =
        !now.isBefore(controlGainedAt.plus(settings.timings().cells().fenceWait()));
    return waitElapsed
        || context.configuration().runners().values().stream()
            .filter(runner -> runner.role() == RunnerRole.MODEL)
            .map(RunnerSpec::id)
            .filter(context.runners()::isUsable)
            .allMatch(eligibility::hasAnsweredFence);
  }

  /** Returns whether a peer has read a newer claim than this node's. */
  private boolean isSuperseded() {
    return highestPeerFence.compareTo(cellState.fence()) > 0;
  }

  // Accessors

  /** Returns whether this incarnation of this node holds the claim in force. */
  public boolean isController() {
    return cellState
        .claim()
        .filter(claim -> claim.isHeldBy(settings.node(), settings.incarnation()))
        .isPresent();
  }

  /** Returns whether a replica is reserved and not being unloaded, so that it may get requests. */
  public boolean isRoutable(ReplicaId replica) {
    return cellState
        .reservation(replica)
        .filter(reservation -> !reservation.unloading())
        .isPresent();
  }

  /** Returns whether a draining node no longer holds the claim, or has reached the drain limit. */
  public boolean isDrained(Instant now) {
    return !isController()
        || drainingSince
            .filter(since -> !now.isBefore(since.plus(settings.timings().cells().drainLimit())))
            .isPresent();
  }

  /** Returns when {@link #advance} is due even if no other event occurs. */
  public Optional<Instant> nextWakeUp() {
    if (drainingSince.isPresent()) {
      return Optional.empty();
    }
    return isController() ? nextPlanAt : nextClaimAt;
  }
}
