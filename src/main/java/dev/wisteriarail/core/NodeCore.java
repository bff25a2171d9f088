package dev.wisteriarail.core;

import dev.wisteriarail.core.cell.CellController;
import dev.wisteriarail.core.cell.CellState;
import dev.wisteriarail.core.cell.Claim;
import dev.wisteriarail.core.cell.ClosedIncarnations;
import dev.wisteriarail.core.cell.ControllerContext;
import dev.wisteriarail.core.config.ChangeOutcome;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.ConfigurationState;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.LogHealth;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.membership.Membership;
import dev.wisteriarail.core.peer.Demand;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.core.placement.PlacementPlanner;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.Refusal;
import dev.wisteriarail.core.request.RequestContext;
import dev.wisteriarail.core.request.RequestOutcome;
import dev.wisteriarail.core.request.RequestTable;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.routing.RunnerTable;
import dev.wisteriarail.core.state.LogFollower;
import dev.wisteriarail.core.state.PeerCatchUp;
import dev.wisteriarail.core.state.SnapshotWriter;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * A node as a deterministic state machine: {@code (event, time) -> effects}.
 *
 * <p>The same settings and the same sequence of events and times produce the same effects. The core
 * reads no clock, opens no socket and starts no thread; the components around it do.
 *
 * <p>Life cycle: one per process. Not thread-safe; all calls come from one thread.
 */
public final class NodeCore {

  private static final Duration LOG_OUTAGE_AFTER = Duration.ofSeconds(1);

  private final NodeSettings settings;
  private final ConfigurationState configurations = ConfigurationState.create();
  private final RunnerTable runners = RunnerTable.create();
  private final LogHealth logHealth = LogHealth.create(LOG_OUTAGE_AFTER);
  private final Membership membership;
  private final ClosedIncarnations closedIncarnations;
  private final CellState cellState;
  private final CellController controller;
  private final LogFollower logFollower;
  private final SnapshotWriter snapshots;
  private final PeerCatchUp catchUp;
  private final RequestTable requestTable;
  private Optional<Instant> nextDemandReport = Optional.empty();
  private boolean outageLogged;
  private boolean draining;
  private boolean drainAnnounced;

  private NodeCore(NodeSettings settings, PlacementPlanner planner) {
    this.settings = settings;
    membership = Membership.create(settings);
    cellState = CellState.create(settings.cell());
    closedIncarnations = ClosedIncarnations.create(settings.timings().cells());
    controller = CellController.create(settings, cellState, closedIncarnations, planner);
    requestTable = RequestTable.create(settings);
    logFollower =
        LogFollower.create(
            settings.cell(),
            List.of(configurations, cellState, requestTable.usedKeys(), requestTable.crashes()));
    snapshots = SnapshotWriter.create(settings);
    catchUp = PeerCatchUp.create(configurations, logFollower, logHealth);
  }

  /** Creates the core of a node that has not read the log yet. */
  public static NodeCore create(NodeSettings settings, PlacementPlanner planner) {
    return new NodeCore(settings, planner);
  }

  // Events

  /**
   * Processes an event.
   *
   * @param event the event
   * @param now the time on the node's monotonic clock, not before that of the previous event
   * @return the effects, in the order in which they have to be started
   */
  public List<Effect> handle(Event event, Instant now) {
    Step step = Step.at(now);
    runners.advance(now);
    accept(event, step);
    advance(step);
    return step.effects();
  }

  private void accept(Event event, Step step) {
    switch (event) {
      case Event.RequestArrived arrived -> acceptRequest(arrived.request(), step);
      case Event.CallerLeft left ->
          requestTable.acceptCallerDisconnect(left.request(), runners, step);
      case Event.AttemptProgressed progress -> requestTable.acceptProgress(progress, context(step));
      case Event.AttemptEnded ended -> requestTable.acceptAttemptEnd(ended, context(step));
      case Event.EngineReported reported -> {
        runners.acceptReport(reported.report());
        controller.acceptReport(reported.report(), step);
        requestTable.acceptReport(reported.report(), step);
      }
      case Event.CacheReported cached -> runners.acceptCacheReport(cached.report());
      case Event.EngineUnreachable unreachable -> runners.markUnreachable(unreachable.runner());
      case Event.OrderAnswered answered ->
          controller.acceptOrderOutcome(answered.order(), answered.outcome(), step);
      case Event.LogRead read -> acceptLog(read, step);
      case Event.LogReadFailed failed -> acceptLogFailure(failed, step);
      case Event.AppendAnswered answered -> {
        controller.acceptAppendOutcome(answered.record(), answered.outcome(), step.now());
        snapshots.acceptAppend(answered.record(), answered.outcome(), step);
        requestTable.acceptAppend(answered.record(), answered.outcome(), step.now());
      }
      case Event.VmListRead read -> {
        membership.acceptVmList(read.nodes(), step);
        closedIncarnations.updateVmList(read.nodes(), step.now());
      }
      case Event.PeerReceived received -> acceptPeer(received, step);
      case Event.TimerFired fired -> {}
      case Event.DrainRequested drain -> {
        draining = true;
        controller.drain(step.now());
        step.log(EventCode.NODE_DRAINING, "node", settings.node());
      }
      case Event.DrainExpired expired -> requestTable.endAll(context(step));
    }
  }

  private void acceptRequest(InboundRequest request, Step step) {
    step.log(EventCode.REQUEST_ARRIVED, "request", request.id(), "customer", request.customer());
    if (draining) {
      Refusal refusal =
          Refusal.notRun(ResultCode.DRAINING, "the node is shutting down", Duration.ZERO);
      step.emit(new Effect.EndRequest(request.id(), new RequestOutcome.Refused(refusal)));
      return;
    }
    requestTable.accept(request, context(step));
    nextDemandReport = Optional.of(step.now());
  }

  private void acceptLog(Event.LogRead read, Step step) {
    logHealth.recordRead(step.now());
    if (outageLogged) {
      outageLogged = false;
      step.log(EventCode.LOG_REACHABLE, "offset", read.nextOffset());
    }
    List<LogRecord> newRecords = logFollower.accept(read, step);
    if (!logFollower.isCurrent()) {
      requestTable.markIncomplete();
    }
    for (LogRecord logged : newRecords) {
      requestTable.acceptRecord(logged.body(), context(step));
      if (logged.body() instanceof RecordBody.ConfigurationChanged change) {
        acceptChange(change, logged, step);
      } else {
        controller.acceptRecord(logged, controllerContext(), step);
      }
    }
  }

  private void acceptLogFailure(Event.LogReadFailed failed, Step step) {
    logHealth.recordFailure(step.now());
    if (!outageLogged && logHealth.isDown(step.now())) {
      outageLogged = true;
      step.log(EventCode.LOG_UNREACHABLE, "reason", failed.reason());
    }
  }

  private void acceptChange(RecordBody.ConfigurationChanged change, LogRecord logged, Step step) {
    String section = change.section().name();
    switch (configurations.apply(change, logged.offset())) {
      case ChangeOutcome.Accepted accepted ->
          step.log(
              EventCode.CONFIGURATION_ACCEPTED,
              "section",
              section,
              "revision",
              accepted.revision());
      case ChangeOutcome.Rejected rejected ->
          step.log(
              EventCode.CONFIGURATION_REJECTED,
              "section",
              section,
              "record",
              logged.id(),
              "code",
              rejected.code().label(),
              "reason",
              rejected.reason());
      case ChangeOutcome.CoveredBySnapshot covered -> {}
    }
  }

  private void acceptPeer(Event.PeerReceived received, Step step) {
    closedIncarnations.recordMessage(received.from(), received.incarnation(), step.now());
    if (!membership.acceptMessage(received.from(), received.incarnation(), step)) {
      return;
    }
    switch (received.message()) {
      case PeerMessage.Heartbeat heartbeat -> {
        membership.acceptHeartbeat(received.from(), heartbeat);
        controller.acceptPeerFence(heartbeat.fence());
        catchUp.acceptRevision(received.from(), heartbeat.revision(), step.now());
      }
      case PeerMessage.OutageRecords outageRecords ->
          controller.acceptOutageRecords(
              received.from(), received.incarnation(), outageRecords, step);
      case PeerMessage.OutageRecordsKept kept ->
          controller.acceptOutageRecordsKept(
              received.from(), received.incarnation(), kept, step.now());
      case PeerMessage.StateRequested requested ->
          catchUp.acceptRequest(received.from(), requested.have(), step);
      case PeerMessage.StateOffered offered -> catchUp.acceptOffer(received.from(), offered, step);
      case PeerMessage.Probe probe -> membership.acceptProbe(received.from());
      case PeerMessage.Suspected suspected -> membership.acceptSuspicions(suspected, step);
      case PeerMessage.DemandReported reported ->
          controller.acceptDemand(received.from(), reported.demands(), step.now());
      case FleetMessage foreign ->
          step.log(
              EventCode.PEER_REFUSED,
              "peer",
              received.from(),
              "reason",
              "unexpected message of a gateway node");
      case PeerMessage.IntentsOffered offered -> requestTable.acceptIntentOffer(offered.changes());
      case PeerMessage.Goodbye goodbye -> {
        membership.markClosed(received.from());
        closedIncarnations.markStopped(received.from(), received.incarnation(), step.now());
        step.log(EventCode.PEER_CLOSED, "peer", received.from());
      }
    }
  }

  // Progress

  private void advance(Step step) {
    catchUp.advance(step);
    requestTable.advance(context(step));
    reportDemand(step);
    if (logHealth.wasRead() && logFollower.isCurrent()) {
      controller.advance(step, controllerContext());
    }
    snapshots.advance(
        logFollower, controller.isController() && !logHealth.isDown(step.now()), step);
    membership.advance(
        step,
        new PeerMessage.Heartbeat(
            configurations.current().revision(), cellState.fence(), draining));
    finishDrain(step);
  }

  private void reportDemand(Step step) {
    if (nextDemandReport.isEmpty() || step.now().isBefore(nextDemandReport.get())) {
      return;
    }
    List<Demand> demands = requestTable.collectDemand(step.now());
    if (controller.isController()) {
      controller.acceptDemand(settings.node(), demands, step.now());
    } else {
      cellState
          .claim()
          .ifPresent(
              claim ->
                  step.emit(
                      new Effect.SendPeer(
                          claim.holder(), new PeerMessage.DemandReported(demands))));
    }
    nextDemandReport =
        requestTable.hasDemand()
            ? Optional.of(step.now().plus(settings.timings().demandReport()))
            : Optional.empty();
  }

  private void finishDrain(Step step) {
    boolean finished =
        requestTable.isDrained(logHealth.isDown(step.now())) && controller.isDrained(step.now());
    if (!draining || drainAnnounced || !finished) {
      return;
    }
    drainAnnounced = true;
    for (NodeId peer : membership.peers()) {
      step.emit(new Effect.SendPeer(peer, new PeerMessage.Goodbye()));
    }
    step.emit(new Effect.DrainCompleted());
  }

  private ControllerContext controllerContext() {
    return new ControllerContext(configurations.current(), membership, runners, logHealth);
  }

  private RequestContext context(Step step) {
    return new RequestContext(
        step,
        configurations.current(),
        runners,
        controller::isRoutable,
        !logHealth.wasRead() || logHealth.isDown(step.now()),
        cellState.claim().map(Claim::holder).filter(node -> membership.isLive(node, step.now())),
        membership.peers().size() + 1,
        (node, incarnation) -> closedIncarnations.isClosed(node, incarnation, step.now()));
  }

  // Accessors

  /** Returns when the core needs a {@link Event.TimerFired} if no other event occurs before. */
  public Optional<Instant> nextWakeUp() {
    Optional<Instant> own = Deadlines.earliest(nextDemandReport, requestTable.nextWakeUp());
    Optional<Instant> others = Deadlines.earliest(controller.nextWakeUp(), membership.nextWakeUp());
    Optional<Instant> state = Deadlines.earliest(snapshots.nextWakeUp(), catchUp.nextWakeUp());
    return Deadlines.earliest(Deadlines.earliest(own, others), state);
  }

  /** Returns the configuration in force on this node. */
  public Configuration configuration() {
    return configurations.current();
  }

  /** Returns whether the load balancer may send callers to this node. */
  public boolean isReady() {
    return !draining && configurations.current().revision().compareTo(Revision.NONE) > 0;
  }

  /** Returns whether this node controls its cell. */
  public boolean isController() {
    return controller.isController();
  }

  /** Returns the status of this node and its view of the fleet. */
  public NodeStatus status(Instant now) {
    Configuration configuration = configurations.current();
    return new NodeStatus(
        settings.node(),
        settings.incarnation(),
        settings.failureDomain(),
        settings.cell(),
        isReady(),
        draining,
        requestTable.isDrained(logHealth.isDown(now)),
        configuration.revision(),
        configuration.models().size(),
        logHealth.isDown(now),
        logFollower.isCurrent(),
        logFollower.nextOffset(),
        logFollower.newestSnapshot().map(LogFollower.LogSnapshot::through),
        cellState.claim().map(Claim::holder),
        cellState.fence(),
        membership.peerViews(now),
        List.copyOf(cellState.reservations()));
  }
}
