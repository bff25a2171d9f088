package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.Coordination;
import dev.wisteriarail.core.fleet.Coordinator;
import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.FleetTimings;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.ModelDemand;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.OrderLease;
import dev.wisteriarail.core.fleet.PeerStatus;
import dev.wisteriarail.core.fleet.PeerTable;
import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.fleet.RunnerTurn;
import dev.wisteriarail.core.fleet.RunnerUse;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.RunnerBoard;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.RouteSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A node that forwards opaque requests, as a deterministic state machine: {@code (event, time) ->
 * effects}.
 *
 * <p>It reads no clock, opens no socket and starts no thread. Life cycle: one per run of a process.
 * Not thread-safe; one thread feeds it.
 */
public final class GatewayCore {

  /** Time after a stop request in which the balancer notices and sends no more callers. */
  private static final Duration BALANCER_NOTICE = Duration.ofMillis(2500);

  /** Time after a stop request from which new streams are refused: they take some seconds. */
  private static final Duration LATEST_STREAM = Duration.ofMillis(2800);

  /** Time before the end of the process from which nothing new is taken: a plain answer's time. */
  private static final Duration LAST_ANSWERS = Duration.ofMillis(800);

  /** Time to come back to another node after the refusal of a node that stops. */
  private static final Duration DRAIN_RETURN = Duration.ofMillis(50);

  /** Pause between two closings of callers' idle connections. */
  private static final Duration CLOSE_PAUSE = Duration.ofMillis(200);

  /** Part of the grace after a stop request that is kept for the end of the process itself. */
  private static final Duration EXIT_RESERVE = Duration.ofMillis(800);

  private static final String SOURCE_STORE = "store";

  private final GatewaySettings settings;
  private final FleetTimings timings;
  private final NodeId self;
  private final RunnerDirectory directory = RunnerDirectory.create();
  private final PeerTable peers;
  private final StoreWatch store;
  private final OrderLease lease;
  private final Coordinator coordinator = Coordinator.create();
  private final RunnerBoard board;
  private final Forwarder forwarder;
  private final Map<NodeId, Long> toldRevision = new HashMap<>();
  private final Map<NodeId, Instant> wholeToldAt = new HashMap<>();
  private Optional<GatewayConfiguration> configuration = Optional.empty();
  private Optional<NodeId> coordinatorNode = Optional.empty();
  private Instant startedAt = Instant.MAX;
  private Instant nextBeat = Instant.MIN;
  private Instant nextDemand = Instant.MIN;
  private Instant nextFleetTold = Instant.MIN;
  private Instant nextPlan = Instant.MIN;
  private Instant lastOrderAt = Instant.MIN;
  private int liveNodes = 1;
  private Instant drainingSince = Instant.MAX;
  private boolean registered;
  private boolean registering;
  private boolean ready;
  private boolean storeLost;
  private Instant nextClose = Instant.MAX;
  private boolean drainCompleted;
  private boolean relaying;
  private boolean coordinatorSeen;
  private long beats;
  private long heldFence;

  private GatewayCore(GatewaySettings settings) {
    this.settings = settings;
    timings = settings.timings();
    self = settings.self().node();
    peers = PeerTable.create(settings.self(), timings.silence());
    store = StoreWatch.create(timings.directoryRead());
    lease = OrderLease.create(self.value(), settings.self().incarnation().value(), timings);
    board = RunnerBoard.create(directory);
    forwarder = Forwarder.create(settings, board);
  }

  /** Returns the core of a node that knows nothing yet. */
  public static GatewayCore create(GatewaySettings settings) {
    return new GatewayCore(settings);
  }

  // Events

  /**
   * Takes one event.
   *
   * @param event the event
   * @param now the time on the node's monotonic clock, not before that of the previous event
   * @return the effects, in the order in which they have to be started
   */
  public List<GatewayEffect> handle(GatewayEvent event, Instant now) {
    GatewayStep step = GatewayStep.at(now);
    if (startedAt.equals(Instant.MAX)) {
      start(now);
    }
    switch (event) {
      case GatewayEvent.RequestArrived arrived -> {
        if (isDraining() && isTooLate(arrived.request(), now)) {
          forwarder.refuse(arrived.request(), ResultCode.DRAINING, Optional.of(DRAIN_RETURN), step);
        } else {
          forwarder.accept(arrived.request(), configuration, step);
        }
        hastenDemand(now);
      }
      case GatewayEvent.CallerLeft left -> forwarder.acceptLeft(left.exchange(), step);
      case GatewayEvent.AttemptTold told ->
          forwarder
              .acceptResult(told, step)
              .ifPresent(fingerprint -> tellAll(new FleetMessage.CrashTold(fingerprint), step));
      case GatewayEvent.StoreTold told -> acceptStore(told, step);
      case GatewayEvent.LeaseTold told -> {
        store.noteCall(!(told.answer() instanceof LeaseAnswer.Failed), now);
        lease.accept(told.answer(), now);
      }
      case GatewayEvent.RegistrationTold told -> {
        registering = false;
        registered = told.done();
      }
      case GatewayEvent.OrderTold told -> acceptOrder(told, step);
      case GatewayEvent.ReportRead read ->
          configuration.ifPresent(
              known -> coordinator.acceptReport(read.report(), read.askedAt(), known, now));
      case GatewayEvent.PeerTold told -> acceptPeer(told, step);
      case GatewayEvent.Tick tick -> {
        if (tick.stoodStill()) {
          peers.forgive(now);
          lease.suspect();
        }
      }
      case GatewayEvent.DrainRequested drain -> {
        if (drainingSince.equals(Instant.MAX)) {
          drainingSince = now;
          nextClose = now.plus(BALANCER_NOTICE);
          step.log(EventCode.NODE_DRAINING, "in_flight", forwarder.size());
        }
      }
    }
    advance(event, step);
    return step.effects();
  }

  private void start(Instant now) {
    startedAt = now;
    for (String seed : settings.seeds()) {
      int colon = seed.lastIndexOf(':');
      peers.learn(
          new NodeAddress(
              NodeId.of("seed-" + seed),
              Incarnation.NONE,
              seed.substring(0, colon),
              Integer.parseInt(seed.substring(colon + 1))),
          now);
    }
  }

  private void acceptStore(GatewayEvent.StoreTold told, GatewayStep step) {
    store.accept(told.call(), told.answer(), step.now());
    switch (told.answer()) {
      case StoreAnswer.ConfigurationRead read ->
          read.configuration().ifPresent(newer -> apply(newer, SOURCE_STORE, step));
      case StoreAnswer.DirectoryRead read -> apply(read.change(), SOURCE_STORE, step);
      case StoreAnswer.NodesRead read ->
          read.nodes().forEach(address -> peers.learn(address, step.now()));
      case StoreAnswer.RecordsDropped dropped ->
          step.log(EventCode.LOG_GAP, "read", told.call().getClass().getSimpleName());
      case StoreAnswer.Failed failed -> {
        if (!storeLost) {
          storeLost = true;
          step.log(EventCode.DEPENDENCY_LOST, "dependency", "store", "reason", failed.reason());
        }
      }
    }
    if (storeLost && store.isReachable()) {
      storeLost = false;
      step.log(EventCode.DEPENDENCY_REGAINED, "dependency", "store");
    }
  }

  private void apply(GatewayConfiguration newer, String source, GatewayStep step) {
    if (configuration.isPresent() && newer.version() <= configuration.get().version()) {
      return;
    }
    configuration = Optional.of(newer);
    store.noteConfiguration();
    step.emit(new GatewayEffect.ApplyBounds(newer.bounds()));
    step.log(
        EventCode.CONFIGURATION_APPLIED,
        "version",
        newer.version(),
        "routes",
        newer.routes().size(),
        "source",
        source);
    if (relaying && source.equals(SOURCE_STORE)) {
      tellAll(new FleetMessage.ConfigurationTold(newer), step);
    }
  }

  private void apply(DirectoryChange change, String source, GatewayStep step) {
    DirectoryChange material = directory.material(change);
    for (RunnerTurn turn : directory.accept(change, step.now())) {
      EventCode code =
          switch (turn.kind()) {
            case JOINED -> EventCode.RUNNER_JOINED;
            case DRAINING -> EventCode.RUNNER_DRAINING;
            case REMOVED -> EventCode.RUNNER_REMOVED;
          };
      step.log(
          code,
          "runner",
          turn.entry().id(),
          "service",
          turn.entry().service(),
          "address",
          turn.entry().address(),
          "born",
          turn.entry().bornMillis(),
          "directory",
          change.to(),
          "source",
          source);
    }
    boolean relayed = relaying && source.equals(SOURCE_STORE);
    if (relayed && !material.isEmpty()) {
      DirectoryChange relay = material.whole() ? directory.whole() : material;
      tellAll(new FleetMessage.DirectoryTold(relay), step);
    }
  }

  private void acceptOrder(GatewayEvent.OrderTold told, GatewayStep step) {
    coordinator.acceptOutcome(told.runner(), told.number(), told.outcome(), step.now());
    step.log(
        EventCode.RUNNER_ORDER_ANSWERED,
        "runner",
        told.runner(),
        "order",
        told.number(),
        "outcome",
        told.outcome(),
        "detail",
        told.detail());
    if (told.outcome() == FleetOrderOutcome.FENCED) {
      lease.lose();
    }
  }

  private void acceptPeer(GatewayEvent.PeerTold told, GatewayStep step) {
    peers.touch(told.from(), step.now());
    switch (told.message()) {
      case FleetMessage.Beat beat -> acceptBeat(beat, step);
      case FleetMessage.DemandTold demand -> {
        coordinator.acceptDemand(
            told.from().value(),
            told.incarnation().value(),
            demand.demands(),
            demand.uses(),
            step.now());
        toldRevision.put(told.from(), demand.viewRevision());
      }
      case FleetMessage.FleetTold fleet ->
          board.accept(fleet.views(), fleet.forecasts(), step.now());
      case FleetMessage.ConfigurationTold configured ->
          apply(configured.configuration(), told.from().value(), step);
      case FleetMessage.CrashTold crash -> forwarder.acceptCrash(crash.fingerprint(), step.now());
      case FleetMessage.DirectoryTold directed ->
          apply(directed.change(), told.from().value(), step);
    }
  }

  private void acceptBeat(FleetMessage.Beat beat, GatewayStep step) {
    Instant now = step.now();
    if (peers.heard(beat.self(), beat.status(), now)) {
      step.log(EventCode.PEER_SEEN, "peer", beat.self().node(), "host", beat.self().host());
    }
    beat.known().forEach(address -> peers.learn(address, now));
    PeerStatus status = beat.status();
    if (status.directoryChange() >= 0 && status.directoryChange() <= directory.offset()) {
      directory.confirm(now.minusMillis(status.directoryAgeMillis()));
    }
    if (status.fence() == 0 && status.lastOrderAgeMillis() >= 0) {
      lease.acceptStopped(
          beat.self().node().value(), now.minusMillis(status.lastOrderAgeMillis()), now);
    }
    if (relaying) {
      helpBehind(beat, step);
    }
  }

  /** Sends the whole of what a peer lacks, at most once in a while. */
  private void helpBehind(FleetMessage.Beat beat, GatewayStep step) {
    NodeId peer = beat.self().node();
    Instant last = wholeToldAt.getOrDefault(peer, Instant.MIN);
    if (!last.equals(Instant.MIN) && step.now().isBefore(last.plus(timings.directoryStale()))) {
      return;
    }
    boolean told = false;
    if (configuration.isPresent()
        && beat.status().configurationVersion() < configuration.get().version()) {
      told = true;
      step.emit(
          new GatewayEffect.SendPeer(
              beat.self(), new FleetMessage.ConfigurationTold(configuration.get())));
    }
    if (directory.offset() >= 0 && beat.status().directoryOffset() < directory.materialOffset()) {
      told = true;
      step.emit(
          new GatewayEffect.SendPeer(
              beat.self(), new FleetMessage.DirectoryTold(directory.whole())));
    }
    if (told) {
      wholeToldAt.put(peer, step.now());
    }
  }

  // Progress

  private void advance(GatewayEvent event, GatewayStep step) {
    boolean ofRequest =
        event instanceof GatewayEvent.RequestArrived
            || event instanceof GatewayEvent.AttemptTold
            || event instanceof GatewayEvent.CallerLeft;
    if (!ofRequest) {
      advanceFleet(event instanceof GatewayEvent.Tick, step);
    }
    reportDemand(step);
    boolean coordinated = coordinatorNode.isPresent() || !coordinatorSeen;
    forwarder.advance(configuration, liveNodes, coordinated, step);
    if (!ofRequest) {
      updateReadiness(step);
      finishDrain(step);
    }
  }

  /** Advances the duties that nodes share; events of single requests do not touch them. */
  private void advanceFleet(boolean tick, GatewayStep step) {
    Instant now = step.now();
    if (tick) {
      directory.advance(now);
      board.advance();
      peers.advance(now);
    }
    List<PeerTable.Peer> live = peers.live(now);
    liveNodes = live.size() + 1;
    coordinate(live, step);
    readStore(live, step);
    beat(step);
    giveOrders(step);
    tellFleet(live, step);
  }

  private void coordinate(List<PeerTable.Peer> live, GatewayStep step) {
    Instant now = step.now();
    boolean settled = !now.isBefore(startedAt.plus(timings.settle()));
    boolean expired = lease.isHeld() && !lease.isSafe(now);
    boolean wants =
        Coordination.wantsLease(self, status(now), lease.isHeld(), settled, expired, live);
    lease.advance(wants, now).ifPresent(call -> step.emit(new GatewayEffect.CallLease(call)));
    if (lease.fence() != heldFence) {
      heldFence = lease.fence();
      coordinator.reset();
      if (heldFence > 0) {
        coordinator.startRevisionsAt(heldFence << REVISION_BITS);
        lastOrderAt = Instant.MIN;
        toldRevision.clear();
        step.log(EventCode.LEASE_GAINED, "fence", heldFence);
      } else {
        step.log(EventCode.LEASE_LOST, "last_order_ms", ageMillis(lastOrderAt, now));
      }
      nextBeat = now;
    }
    Optional<NodeId> before = coordinatorNode;
    coordinatorNode = Coordination.coordinator(self, lease.fence(), live);
    coordinatorSeen |= coordinatorNode.isPresent();
    if (!before.equals(coordinatorNode)) {
      step.log(
          EventCode.COORDINATOR_CHANGED,
          "coordinator",
          coordinatorNode.map(NodeId::value).orElse(""),
          "live_peers",
          live.size());
    }
  }

  /** Leaves a million revisions of views to each holder of the lease. */
  private static final int REVISION_BITS = 20;

  private void readStore(List<PeerTable.Peer> live, GatewayStep step) {
    Instant now = step.now();
    boolean stale = directory.age(now).compareTo(timings.directoryStale()) > 0;
    relaying = Coordination.relay(self, status(now), live).filter(self::equals).isPresent();
    boolean watching = relaying || stale;
    for (StoreRead read : store.advance(watching, directory.offset(), live.isEmpty(), now)) {
      step.emit(new GatewayEffect.ReadStore(read));
    }
    if (!registered && !registering && store.isReachable() && directory.offset() >= 0) {
      registering = true;
      step.emit(new GatewayEffect.RegisterNode(settings.self()));
    }
  }

  private PeerStatus status(Instant now) {
    return new PeerStatus(
        lease.fence(),
        ageMillis(lastOrderAt, now),
        store.isReachable() && !store.answeredAt().equals(Instant.MIN),
        isDraining(),
        configuration.map(GatewayConfiguration::version).orElse(0L),
        directory.offset(),
        directory.materialOffset(),
        Math.max(0, directory.age(now).toMillis()));
  }

  private static long ageMillis(Instant then, Instant now) {
    return then.equals(Instant.MIN) ? -1 : Duration.between(then, now).toMillis();
  }

  private void beat(GatewayStep step) {
    if (step.now().isBefore(nextBeat)) {
      return;
    }
    double pace = lease.isHeld() ? 1 : peers.pace();
    nextBeat = step.now().plusMillis(Math.round(timings.beat().toMillis() * pace));
    boolean introduces = beats++ % BEATS_BETWEEN_INTRODUCTIONS == 0;
    List<NodeAddress> known =
        introduces
            ? peers.live(step.now()).stream().map(PeerTable.Peer::address).toList()
            : List.of();
    FleetMessage.Beat beat = new FleetMessage.Beat(settings.self(), known, status(step.now()));
    for (NodeAddress peer : peers.addresses()) {
      step.emit(new GatewayEffect.SendPeer(peer, beat));
    }
  }

  /** Heartbeats between two that name other nodes; a list of them is long in a large fleet. */
  private static final int BEATS_BETWEEN_INTRODUCTIONS = 8;

  private void hastenDemand(Instant now) {
    if (forwarder.hasWaiting() && nextDemand.isAfter(now.plusMillis(HASTE_MILLIS))) {
      nextDemand = now.plusMillis(HASTE_MILLIS);
    }
  }

  /** Least time between two plans; the fastest load takes some hundred milliseconds. */
  private static final long PLAN_MILLIS = 15;

  /** Time in which news of engines are put together, for each doubling of the pace. */
  private static final long NEWS_MILLIS = 30;

  /** Time in which requests that arrive together are put into one report. */
  private static final long HASTE_MILLIS = 10;

  private void reportDemand(GatewayStep step) {
    Instant now = step.now();
    if (now.isBefore(nextDemand)) {
      return;
    }
    nextDemand = now.plusMillis(Math.round(timings.demand().toMillis() * peers.pace()));
    List<ModelDemand> demands = forwarder.demands(now);
    List<RunnerUse> uses = board.takeUses();
    if (lease.isHeld()) {
      coordinator.acceptDemand(
          self.value(), settings.self().incarnation().value(), demands, uses, now);
      return;
    }
    coordinatorNode
        .flatMap(node -> peers.live(node, now))
        .ifPresent(
            peer ->
                step.emit(
                    new GatewayEffect.SendPeer(
                        peer.address(),
                        new FleetMessage.DemandTold(demands, uses, board.viewRevision()))));
  }

  private void giveOrders(GatewayStep step) {
    Instant now = step.now();
    if (!lease.isHeld() || configuration.isEmpty() || now.isBefore(nextPlan)) {
      return;
    }
    nextPlan = now.plusMillis(Math.round(PLAN_MILLIS * peers.pace()));
    coordinator.sync(configuration.get(), directory, now);
    for (String runner : coordinator.takeQuestions(now)) {
      directory.usable(runner).ifPresent(entry -> step.emit(new GatewayEffect.AskReport(entry)));
    }
    if (!lease.mayOrder(now)) {
      coordinator.forecastBlocked(configuration.get(), lease.ordersIn(now), now);
      return;
    }
    for (Coordinator.NumberedOrder order : coordinator.decide(configuration.get(), now)) {
      lastOrderAt = now;
      step.log(
          EventCode.RUNNER_ORDERED,
          "runner",
          order.runner(),
          "order",
          order.number(),
          "body",
          order.order(),
          "expected",
          order.expected(),
          "fence",
          lease.fence(),
          "reason",
          order.reason());
      directory
          .usable(order.runner())
          .ifPresent(
              entry ->
                  step.emit(
                      new GatewayEffect.GiveOrder(entry, order, self.value(), lease.fence())));
    }
  }

  private void tellFleet(List<PeerTable.Peer> live, GatewayStep step) {
    Instant now = step.now();
    if (!lease.isHeld()) {
      return;
    }
    boolean news = coordinator.revision() > board.viewRevision();
    Instant soon = now.plusMillis(Math.round(NEWS_MILLIS * (peers.pace() - 1)));
    if (news && nextFleetTold.isAfter(soon)) {
      nextFleetTold = soon;
    }
    if (now.isBefore(nextFleetTold)) {
      return;
    }
    nextFleetTold = now.plusMillis(Math.round(timings.demand().toMillis() * peers.pace()));
    board.accept(coordinator.viewsSince(board.viewRevision(), now), coordinator.forecasts(), now);
    Map<Long, FleetMessage.FleetTold> messages = new HashMap<>();
    for (PeerTable.Peer peer : live) {
      long known = toldRevision.getOrDefault(peer.node(), 0L);
      FleetMessage.FleetTold message =
          messages.computeIfAbsent(
              known,
              revision ->
                  new FleetMessage.FleetTold(
                      lease.fence(),
                      coordinator.viewsSince(revision, now),
                      coordinator.forecasts()));
      step.emit(new GatewayEffect.SendPeer(peer.address(), message));
      toldRevision.put(peer.node(), coordinator.revision());
    }
  }

  private void tellAll(FleetMessage message, GatewayStep step) {
    for (PeerTable.Peer peer : peers.live(step.now())) {
      step.emit(new GatewayEffect.SendPeer(peer.address(), message));
    }
  }

  // Readiness and drain

  private void updateReadiness(GatewayStep step) {
    boolean now = !isDraining() && configuration.isPresent() && directory.offset() >= 0;
    if (now != ready) {
      ready = now;
      step.emit(new GatewayEffect.SetReady(ready));
      if (ready) {
        step.log(
            EventCode.NODE_READY,
            "after_ms",
            Duration.between(startedAt, step.now()).toMillis(),
            "configuration",
            configuration.get().version());
      }
    }
  }

  /** A stream that begins late might be cut by the end of the process; another node can take it. */
  private boolean isTooLate(ForwardRequest request, Instant now) {
    Duration since = Duration.between(drainingSince, now);
    boolean stream =
        configuration
            .flatMap(known -> known.route(request.host(), request.path()))
            .filter(RouteSpec::streaming)
            .isPresent();
    Duration limit =
        stream ? LATEST_STREAM : settings.drainGrace().minus(EXIT_RESERVE).minus(LAST_ANSWERS);
    return since.compareTo(limit) > 0;
  }

  private boolean isDraining() {
    return !drainingSince.equals(Instant.MAX);
  }

  private void finishDrain(GatewayStep step) {
    if (!isDraining() || drainCompleted) {
      return;
    }
    Instant now = step.now();
    if (!now.isBefore(nextClose)) {
      nextClose = now.plus(CLOSE_PAUSE);
      step.emit(new GatewayEffect.CloseIdleCallers());
    }
    boolean noticed = !now.isBefore(drainingSince.plus(BALANCER_NOTICE));
    boolean empty = noticed && forwarder.isEmpty();
    boolean late = !now.isBefore(drainingSince.plus(settings.drainGrace()).minus(EXIT_RESERVE));
    if (empty || late) {
      drainCompleted = true;
      step.log(EventCode.NODE_STOPPED, "in_flight", forwarder.size());
      step.emit(new GatewayEffect.DrainCompleted());
    }
  }
}
