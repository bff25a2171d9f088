package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.Coordination;
import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.FleetTimings;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.ModelDemand;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.OrderLease;
import dev.wisteriarail.core.fleet.PeerStatus;
import dev.wisteriarail.core.fleet.PeerTable;
import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.fleet.RunnerUse;
import dev.wisteriarail.core.forward.RunnerBoard;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * A node that forwards opaque requests, as a deterministic state machine: {@code (event, time) ->
 * effects}.
 *
 * <p>It reads no clock, opens no socket and starts no thread. Life cycle: one per run of a process.
 * Not thread-safe; one thread feeds it.
 */
public final class GatewayCore {

  /** Heartbeats between two that name other nodes; a list of them is long in a large fleet. */
  private static final int BEATS_BETWEEN_INTRODUCTIONS = 8;

  /** Time in which requests that arrive together are put into one report. */
  private static final long HASTE_MILLIS = 10;

  /** Time between two reports of a node of a large fleet that has nothing to report. */
  private static final Duration QUIET_REPORT = Duration.ofSeconds(1);

  /** Time between two ticks: the finest of the intervals, or of those of a large fleet. */
  private static final Duration TICK = Duration.ofMillis(50);

  private static final Duration LARGE_FLEET_TICK = Duration.ofMillis(100);

  /** Pause between two nodes that write their addresses again, as the store may have lost them. */
  private static final Duration REGISTRATION_PAUSE = Duration.ofMillis(50);

  private static final String SOURCE_STORE = "store";

  private final GatewaySettings settings;
  private final FleetTimings timings;
  private final NodeId self;
  private final RunnerDirectory directory = RunnerDirectory.create();
  private final PeerTable peers;
  private final StoreWatch store;
  private final OrderLease lease;
  private final RunnerBoard board;
  private final RunnerNews news;
  private final Forwarder forwarder;
  private final DrainPlan drain;
  private final EngineDuty duty;
  private final NodeRegistration registration = NodeRegistration.create();
  private final Rehearsal rehearsal = Rehearsal.create();
  private final PeerHelp help;
  private Optional<GatewayConfiguration> configuration = Optional.empty();
  private Optional<NodeId> coordinatorNode = Optional.empty();
  private Instant startedAt = Instant.MAX;
  private Instant nextBeat = Instant.MIN;
  private Instant nextDemand = Instant.MIN;
  private Instant quietToldAt = Instant.EPOCH;
  private int sharers = 1;
  private boolean ready;
  private boolean storeLost;
  private boolean relaying;
  private boolean coordinatorSeen;
  private long beats;
  private long heldFence;

  private GatewayCore(GatewaySettings settings) {
    this.settings = settings;
    timings = settings.timings();
    self = settings.self().node();
    peers = PeerTable.create(settings.self(), timings.silence(), timings.lease());
    store = StoreWatch.create(timings.directoryRead());
    lease = OrderLease.create(self.value(), settings.self().incarnation().value(), timings);
    board = RunnerBoard.create(directory);
    news = RunnerNews.create(directory, board);
    forwarder = Forwarder.create(settings, board);
    drain = DrainPlan.create(settings.drainGrace());
    help = PeerHelp.create(timings.directoryStale());
    duty = EngineDuty.create(settings, lease, directory, board);
  }

  /** Returns the core of a node that knows nothing yet. */
  public static GatewayCore create(GatewaySettings settings) {
    return new GatewayCore(settings);
  }

  /** Returns how long the runtime waits before it tells that time has passed. */
  public Duration tickPause() {
    return peers.isLarge() && !lease.isHeld() ? LARGE_FLEET_TICK : TICK;
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
        if (forwarder.isTooLate(arrived.request(), configuration, drain, now)) {
          forwarder.refuse(
              arrived.request(), ResultCode.DRAINING, Optional.of(DrainPlan.RETURN), step);
        } else {
          forwarder.accept(arrived.request(), configuration, step);
        }
        hastenDemand(now);
      }
      case GatewayEvent.CallerLeft left -> forwarder.acceptLeft(left.exchange(), step);
      case GatewayEvent.AttemptTold told ->
          // Nodes that exchange no heartbeats with this one have to know it too.
          forwarder
              .acceptResult(told, step)
              .ifPresent(
                  fingerprint ->
                      tell(peers.addresses(), new FleetMessage.CrashTold(fingerprint), step));
      case GatewayEvent.RunnerSpoke spoke -> {
        if (news.accept(spoke, step)) {
          nextBeat = now;
        }
      }
      case GatewayEvent.StoreTold told -> acceptStore(told, step);
      case GatewayEvent.LeaseTold told -> {
        store.noteCall(!(told.answer() instanceof LeaseAnswer.Failed), now);
        lease.accept(told.answer(), now);
        acceptEra(told.answer().era(), SOURCE_STORE, step);
      }
      case GatewayEvent.RegistrationTold told -> {
        registration.accept(told.done());
        if (told.done()) {
          store.noteRegistration();
        }
      }
      case GatewayEvent.OrderTold told -> duty.acceptOrder(told, step);
      case GatewayEvent.ReportRead read ->
          configuration.ifPresent(known -> duty.acceptReport(read, known, step));
      case GatewayEvent.PeerTold told -> acceptPeer(told, step);
      case GatewayEvent.Tick tick -> {
        if (tick.stoodStill()) {
          peers.forgive(now);
          lease.suspect();
        }
      }
      case GatewayEvent.SettingsRead read -> {
        forwarder.accept(read.settings().retries());
        drain.setGrace(read.settings().drainGrace());
      }
      case GatewayEvent.DrainRequested requested -> {
        if (drain.begin(now)) {
          step.log(EventCode.NODE_DRAINING, "in_flight", forwarder.size());
        }
      }
    }
    advance(event, step);
    return step.effects();
  }

  private void start(Instant now) {
    startedAt = now;
    settings.seeds().forEach(seed -> peers.learn(NodeAddress.ofSeed(seed), now));
  }

  private void acceptStore(GatewayEvent.StoreTold told, GatewayStep step) {
    acceptEra(told.answer().era(), SOURCE_STORE, step);
    store.accept(told.call(), told.answer(), step.now());
    if (store.isOutdated(told.answer())) {
      return;
    }
    switch (told.answer()) {
      case StoreAnswer.ConfigurationRead read ->
          read.configuration().ifPresent(newer -> apply(newer, SOURCE_STORE, step));
      case StoreAnswer.DirectoryRead read ->
          apply(read.change(), store.directoryAskedAt(), SOURCE_STORE, step);
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

  /** Takes the store's era, whoever tells it: records of this node may be lost with the last. */
  private void acceptEra(long era, String source, GatewayStep step) {
    final long before = store.era();
    final LogPosition leaseBefore = lease.end();
    lease.acceptEra(era, step.now());
    if (!store.acceptEra(era, step.now())) {
      return;
    }
    registration.noteLoss(step.now().plus(peers.shareOf(REGISTRATION_PAUSE)));
    step.log(
        EventCode.STORE_ERA_CHANGED,
        "era",
        era,
        "before",
        before,
        "source",
        source,
        "directory",
        directory.offset(),
        "lease",
        leaseBefore,
        "version",
        configuration.map(GatewayConfiguration::version).orElse(0L));
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

  private void apply(DirectoryChange change, Instant asOf, String source, GatewayStep step) {
    DirectoryChange material = directory.material(change);
    directory.accept(change, asOf, step.now()).forEach(turn -> news.log(turn, source, step));
    boolean relayed = relaying && source.equals(SOURCE_STORE);
    if (relayed && !material.isEmpty()) {
      DirectoryChange relay = material.whole() ? directory.whole() : material;
      tellAll(new FleetMessage.DirectoryTold(relay), step);
    }
  }

  private void acceptPeer(GatewayEvent.PeerTold told, GatewayStep step) {
    peers.touch(told.from(), step.now());
    switch (told.message()) {
      case FleetMessage.Beat beat -> acceptBeat(beat, step);
      case FleetMessage.DemandTold demand ->
          duty.acceptDemand(told.from(), told.incarnation(), demand, step.now());
      case FleetMessage.FleetTold fleet ->
          board.accept(fleet.views(), fleet.forecasts(), step.now());
      case FleetMessage.ConfigurationTold configured ->
          apply(configured.configuration(), told.from().value(), step);
      case FleetMessage.CrashTold crash -> forwarder.acceptCrash(crash.fingerprint(), step.now());
      case FleetMessage.DirectoryTold directed -> {
        acceptEra(directed.change().to().era(), told.from().value(), step);
        apply(directed.change(), Instant.MIN, told.from().value(), step);
      }
    }
  }

  private void acceptBeat(FleetMessage.Beat beat, GatewayStep step) {
    Instant now = step.now();
    if (peers.heard(beat.self(), beat.status(), now)) {
      step.log(EventCode.PEER_SEEN, "peer", beat.self().node(), "host", beat.self().host());
    }
    beat.known().forEach(address -> peers.learn(address, now));
    news.acceptLeaving(beat.leaving(), beat.self().node().value(), step);
    PeerStatus status = beat.status();
    long era = Math.max(status.directoryOffset().era(), status.leaseEnd().era());
    acceptEra(era, beat.self().node().value(), step);
    if (status.directoryChange().known() && !directory.offset().before(status.directoryChange())) {
      directory.confirm(now.minusMillis(status.directoryAgeMillis()));
    }
    if (status.fence() > 0) {
      lease.acceptEnd(status.leaseEnd(), now);
    }
    if (status.fence() == 0 && status.lastFence() > 0) {
      lease.acceptStopped(status.lastFence(), status.quietMillis(), now);
    }
    if (relaying) {
      help.accept(beat, configuration, directory, step);
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
    forwarder.advance(configuration, sharers, coordinated, step);
    if (!ofRequest) {
      updateReadiness(step);
      rehearsal.advance(configuration, directory, step);
      if (drain.isDraining()) {
        forwarder.endWaiting(drain, step);
      }
      int endedLast = drain.isOver(step.now()) ? forwarder.endAll(step) : 0;
      drain.advance(forwarder.size(), endedLast, step);
    }
  }

  /** Advances the duties that nodes share; events of single requests do not touch them. */
  private void advanceFleet(boolean tick, GatewayStep step) {
    Instant now = step.now();
    if (tick) {
      directory.advance(now);
      board.advance(now);
      peers.advance(now);
    }
    List<PeerTable.Peer> live = peers.live(now);
    sharers = peers.sharers(live);
    coordinate(live, step);
    readStore(live, step);
    beat(step);
    duty.advance(configuration, live, peers.pace(), step);
  }

  private void coordinate(List<PeerTable.Peer> live, GatewayStep step) {
    Instant now = step.now();
    boolean expired = lease.isHeld() && !lease.isSafe(now);
    boolean wants =
        Coordination.wantsLease(
            settings.self(), status(now), lease.isHeld(), expired, live, !peers.isLarge());
    lease
        .advance(wants, () -> duty.loads(now), now)
        .ifPresent(call -> step.emit(new GatewayEffect.CallLease(call)));
    if (lease.fence() != heldFence) {
      heldFence = lease.fence();
      if (heldFence > 0) {
        duty.begin(heldFence, now);
        step.log(EventCode.LEASE_GAINED, "fence", heldFence);
      } else {
        duty.stop();
        step.log(EventCode.LEASE_LOST, "last_order_ms", duty.lastOrderAgeMillis(now));
      }
      nextBeat = now;
    }
    Optional<NodeId> before = coordinatorNode;
    coordinatorNode = Coordination.coordinator(self, lease.fence(), live);
    coordinatorSeen |= coordinatorNode.isPresent();
    if (!before.equals(coordinatorNode)) {
      nextDemand = now;
      quietToldAt = Instant.EPOCH;
      step.log(
          EventCode.COORDINATOR_CHANGED,
          "coordinator",
          coordinatorNode.map(NodeId::value).orElse(""),
          "live_peers",
          live.size());
    }
  }

  private void readStore(List<PeerTable.Peer> live, GatewayStep step) {
    Instant now = step.now();
    boolean stale = directory.age(now).compareTo(timings.directoryStale()) > 0;
    relaying =
        Coordination.relay(settings.self(), status(now), live).filter(self::equals).isPresent();
    boolean watching = relaying || stale;
    for (StoreRead read :
        store.advance(watching, directory.offset(), registration.state(), live.isEmpty(), now)) {
      step.emit(new GatewayEffect.ReadStore(read));
    }
    if (registration.takeWrite(store.isReachable() && directory.offset().known(), now)) {
      step.emit(new GatewayEffect.RegisterNode(settings.self()));
    }
  }

  private PeerStatus status(Instant now) {
    return new PeerStatus(
        lease.fence(),
        lease.lastFence(),
        lease.quietFor(now).toMillis(),
        lease.isHeld() ? lease.end() : LogPosition.NONE,
        store.isReachable() && !store.answeredAt().equals(Instant.MIN),
        !now.isBefore(startedAt.plus(timings.settle())),
        drain.isDraining(),
        configuration.map(GatewayConfiguration::version).orElse(0L),
        directory.offset(),
        directory.materialOffset(),
        Math.max(0, directory.age(now).toMillis()));
  }

  private void beat(GatewayStep step) {
    if (step.now().isBefore(nextBeat)) {
      return;
    }
    double pace = lease.isHeld() ? 1 : peers.pace();
    nextBeat = step.now().plusMillis(Math.round(timings.beat().toMillis() * pace));
    boolean introduces = beats++ % BEATS_BETWEEN_INTRODUCTIONS == 0;
    List<NodeAddress> known = introduces ? liveAddresses(step.now()) : List.of();
    FleetMessage.Beat beat =
        new FleetMessage.Beat(settings.self(), known, status(step.now()), directory.unconfirmed());
    tell(peers.beatTargets(lease.isHeld(), step.now()), beat, step);
  }

  private void hastenDemand(Instant now) {
    if (forwarder.hasWaiting() && nextDemand.isAfter(now.plusMillis(HASTE_MILLIS))) {
      nextDemand = now.plusMillis(HASTE_MILLIS);
    }
  }

  private void reportDemand(GatewayStep step) {
    Instant now = step.now();
    if (now.isBefore(nextDemand)) {
      return;
    }
    nextDemand = now.plusMillis(Math.round(timings.demand().toMillis() * peers.pace()));
    List<ModelDemand> demands = forwarder.demands(now);
    List<RunnerUse> uses = board.takeUses();
    boolean quiet = peers.isLarge() && demands.isEmpty() && uses.isEmpty();
    if (quiet && now.isBefore(quietToldAt.plus(QUIET_REPORT))) {
      return;
    }
    quietToldAt = quiet ? now : Instant.EPOCH;
    FleetMessage.DemandTold told = new FleetMessage.DemandTold(demands, uses, board.viewRevision());
    if (lease.isHeld()) {
      duty.acceptDemand(self, settings.self().incarnation(), told, now);
      return;
    }
    coordinatorNode
        .flatMap(node -> peers.live(node, now))
        .ifPresent(peer -> step.emit(new GatewayEffect.SendPeer(peer.address(), told)));
  }

  private void tellAll(FleetMessage message, GatewayStep step) {
    tell(liveAddresses(step.now()), message, step);
  }

  private List<NodeAddress> liveAddresses(Instant now) {
    return peers.live(now).stream().map(PeerTable.Peer::address).toList();
  }

  private static void tell(List<NodeAddress> to, FleetMessage message, GatewayStep step) {
    to.forEach(peer -> step.emit(new GatewayEffect.SendPeer(peer, message)));
  }

  private void updateReadiness(GatewayStep step) {
    boolean now = !drain.isDraining() && configuration.isPresent() && directory.offset().known();
    if (now != ready) {
      ready = now;
      step.emit(new GatewayEffect.SetReady(ready));
      if (ready) {
        rehearsal.noteReady(step.now());
        step.log(
            EventCode.NODE_READY,
            "after_ms",
            Duration.between(startedAt, step.now()).toMillis(),
            "configuration",
            configuration.get().version());
      }
    }
  }
}
