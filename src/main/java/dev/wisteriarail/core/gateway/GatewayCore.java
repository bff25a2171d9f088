package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.CoordinatorElection;
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
import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.tenant.ShareGrant;
import dev.wisteriarail.core.tenant.TenantAllowances;
import dev.wisteriarail.core.tenant.TenantCount;
import dev.wisteriarail.core.tenant.TenantUse;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Core of a node that forwards opaque requests, as a deterministic state machine: {@code (event,
 * time) -> effects}.
 *
 * <p>It reads no clock, opens no socket and starts no thread. Life cycle: one per run of a process.
 * Not thread-safe; one thread passes all events to it.
 */
public final class GatewayCore {

  /**
   * One heartbeat in this many lists the addresses of other nodes, as the list is long in a large
   * fleet.
   */
  private static final int HEARTBEATS_PER_PEER_LIST = 8;

  /** Time in which arriving requests are batched into one demand report. */
  private static final long DEMAND_BATCH_MILLIS = 10;

  /** Interval of empty demand reports in a large fleet. */
  private static final Duration EMPTY_REPORT_INTERVAL = Duration.ofSeconds(1);

  /** Time after its start in which a node gives the lease to one with a much faster link. */
  private static final Duration PROVISIONAL_TIME = Duration.ofSeconds(12);

  /** Interval between ticks, as short as the shortest interval of the periodic work. */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  /** Interval between ticks in a large fleet, where the other intervals are longer too. */
  private static final Duration LARGE_FLEET_TICK_INTERVAL = Duration.ofMillis(100);

  /**
   * Delay between two nodes that register their addresses again after the store may have lost them.
   */
  private static final Duration REGISTRATION_SPACING = Duration.ofMillis(50);

  /**
   * Time that passes on the monotonic clock in a pause during which it goes on. If a pause is
   * reported although less has passed, the clock stood still with the machine.
   */
  private static final Duration MIN_PAUSE = Duration.ofMillis(400);

  private static final String SOURCE_STORE = "store";

  private final GatewaySettings settings;
  private final FleetTimings timings;
  private final NodeId self;
  private final RunnerDirectory directory = RunnerDirectory.create();
  private final PeerTable peers;
  private final StoreReadScheduler store;
  private final OrderLease lease;
  private final RunnerStateTable runnerStates;
  private final RunnerNotificationHandler runnerNotifications;
  private final ConfigurationConfirmation confirmation;
  private final CrashGuard crashGuard;
  private final Forwarder forwarder;
  private final DrainPlan drain;
  private final CoordinatorRole coordinatorRole;
  private final AllowanceOwners owners;
  private final TenantAllowances allowances;
  private final FloorCount floorCount = FloorCount.create();
  private final NodeRegistration registration = NodeRegistration.create();
  private final CodecWarmUp codecWarmUp = CodecWarmUp.create();
  private final PeerSynchronizer peerSynchronizer;
  private Optional<GatewayConfiguration> configuration = Optional.empty();
  private Optional<NodeId> coordinatorNode = Optional.empty();
  private Instant startedAt = Instant.MAX;
  private Instant lastTickAt = Instant.EPOCH;
  private Instant nextHeartbeat = Instant.MIN;
  private Instant nextDemandReport = Instant.MIN;
  private Instant lastEmptyReportAt = Instant.EPOCH;
  private int sharingNodes = 1;
  private boolean ready;
  private boolean storeUnreachable;
  private boolean relaying;
  private boolean coordinatorSeen;
  private long heartbeatCount;
  private long heldFence;

  private GatewayCore(GatewaySettings settings) {
    this.settings = settings;
    timings = settings.timings();
    self = settings.self().node();
    peers = PeerTable.create(settings.self(), timings.peerTimeout(), timings.leaseDuration());
    store = StoreReadScheduler.create(timings.directoryReadInterval());
    lease = OrderLease.create(self.value(), settings.self().incarnation().value(), timings);
    runnerStates = RunnerStateTable.create(directory);
    runnerNotifications = RunnerNotificationHandler.create(directory, runnerStates);
    crashGuard = CrashGuard.create(peers);
    drain = DrainPlan.create(settings.drainGrace());
    confirmation = ConfigurationConfirmation.create(settings.revocation());
    allowances = TenantAllowances.create(settings.allowances());
    coordinatorRole = CoordinatorRole.create(settings, lease, directory, runnerStates);
    owners = AllowanceOwners.create(settings.self(), peers, allowances);
    forwarder =
        Forwarder.create(
            settings,
            runnerStates,
            CallerAuthenticator.create(confirmation),
            crashGuard,
            allowances,
            owners,
            drain,
            peers::position);
    peerSynchronizer = PeerSynchronizer.create(timings.maxDirectoryAge());
  }

  /** Creates the core of a node that has no configuration and knows no runners. */
  public static GatewayCore create(GatewaySettings settings) {
    return new GatewayCore(settings);
  }

  /** Returns how long the runtime waits before it submits a {@link GatewayEvent.Tick}. */
  public Duration tickInterval() {
    return peers.isLarge() && !lease.isHeld() ? LARGE_FLEET_TICK_INTERVAL : TICK_INTERVAL;
  }

  /** Returns what was admitted and refused for each limited tenant. */
  public List<TenantCount> tenantCounts(Instant now) {
    return allowances.counts(now);
  }

  // Events

  /**
   * Handles one event.
   *
   * @param event the event
   * @param now time of the node's monotonic clock, not before that of the previous event
   * @return the effects, in the order in which they have to be started
   * @throws GatewayStepException if the event cannot be handled; later events still can
   */
  public List<GatewayEffect> handle(GatewayEvent event, Instant now) {
    GatewayStep step = GatewayStep.at(now);
    try {
      handle(event, step);
    } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError fault) {
      throw new GatewayStepException(step.effects(), fault);
    }
    return step.effects();
  }

  private void handle(GatewayEvent event, GatewayStep step) {
    final Instant now = step.now();
    if (startedAt.equals(Instant.MAX)) {
      start(now);
    }
    confirmation.recordEvent(now);
    switch (event) {
      case GatewayEvent.RequestArrived arrived -> {
        if (forwarder.isTooLate(arrived.request(), configuration, drain, now)) {
          forwarder.refuse(
              arrived.request(), ResultCode.DRAINING, Optional.of(DrainPlan.RETRY_AFTER), step);
        } else {
          forwarder.accept(arrived.request(), configuration, step);
        }
        if (!forwarder.waitsForAllowance(arrived.request())) {
          expediteDemandReport(now);
        }
      }
      case GatewayEvent.CallerDisconnected disconnected ->
          forwarder.acceptDisconnect(disconnected.exchange(), step);
      case GatewayEvent.AttemptUpdated update -> forwarder.acceptResult(update, step);
      case GatewayEvent.RunnerNotified notified -> {
        if (runnerNotifications.accept(notified, step)) {
          nextHeartbeat = now;
        }
      }
      case GatewayEvent.StoreReadCompleted completed -> acceptStoreRead(completed, step);
      case GatewayEvent.LeaseCallCompleted completed -> {
        store.recordCall(!(completed.answer() instanceof LeaseAnswer.Failed), now);
        lease.accept(completed.answer(), now);
        acceptEra(completed.answer().era(), SOURCE_STORE, step);
      }
      case GatewayEvent.RegistrationCompleted completed -> {
        registration.accept(completed.succeeded());
        if (completed.succeeded()) {
          store.recordRegistration();
        }
      }
      case GatewayEvent.RefusalSaved saved -> crashGuard.acceptSaved(saved.succeeded(), step);
      case GatewayEvent.OrderCompleted completed ->
          coordinatorRole.acceptOrderOutcome(completed, step);
      case GatewayEvent.ReportReceived received -> {
        configuration.ifPresent(known -> coordinatorRole.acceptReport(received, known, step));
        crashGuard.recordReport(received.report(), received.requestedAt(), step);
      }
      case GatewayEvent.PeerMessageReceived received -> {
        peers.recordMessage(received.from(), now);
        PeerMessageCheck.usablePart(received, step)
            .ifPresent(message -> acceptPeerMessage(received, message, step));
      }
      case GatewayEvent.Tick tick -> {
        if (tick.afterPause()) {
          peers.resetSilence(now);
          lease.requireRenewal();
          if (now.isBefore(lastTickAt.plus(MIN_PAUSE))) {
            allowances.endGrants(now);
          }
        }
        lastTickAt = now;
      }
      case GatewayEvent.SettingsReloaded reloaded -> {
        forwarder.accept(reloaded.settings());
        confirmation.accept(reloaded.settings().revocation());
        drain.setGracePeriod(reloaded.settings().drainGrace());
      }
      case GatewayEvent.DrainRequested requested -> {
        if (drain.begin(now)) {
          step.log(EventCode.NODE_DRAINING, "in_flight", forwarder.size());
        }
      }
    }
    advance(event, step);
  }

  private void start(Instant now) {
    startedAt = now;
    settings.seeds().forEach(seed -> peers.addAddress(NodeAddress.ofSeed(seed), now));
  }

  private void acceptStoreRead(GatewayEvent.StoreReadCompleted completed, GatewayStep step) {
    acceptEra(completed.answer().era(), SOURCE_STORE, step);
    store.accept(completed.call(), completed.answer(), step.now());
    if (store.isOutdated(completed.answer())) {
      return;
    }
    switch (completed.answer()) {
      case StoreAnswer.ConfigurationRead read -> {
        confirmation.logFaults(read, step);
        read.configuration().ifPresent(newer -> apply(newer, SOURCE_STORE, step));
        confirmation.recordRead(store.configurationKnownAt(completed.call(), read, step.now()));
      }
      case StoreAnswer.DirectoryRead read -> {
        runnerNotifications.logUnreadable(read.unreadable(), step);
        apply(
            directory.withKnown(read.change(), read.unreadable().keySet()),
            store.directoryReadStartedAt(),
            SOURCE_STORE,
            step);
      }
      case StoreAnswer.NodesRead read -> {
        read.nodes().forEach(address -> peers.addAddress(address, step.now()));
        floorCount.markComplete();
      }
      case StoreAnswer.CrashRefusalsRead read -> crashGuard.acceptStored(read.refusals(), step);
      case StoreAnswer.RecordsDropped dropped ->
          step.log(EventCode.LOG_GAP, "read", completed.call().getClass().getSimpleName());
      case StoreAnswer.Failed failed -> {
        if (!storeUnreachable) {
          storeUnreachable = true;
          step.log(EventCode.DEPENDENCY_LOST, "dependency", "store", "reason", failed.reason());
        }
      }
    }
    if (storeUnreachable && store.isReachable()) {
      storeUnreachable = false;
      step.log(EventCode.DEPENDENCY_REGAINED, "dependency", "store");
    }
  }

  /**
   * Handles the store's era as reported by the store or a peer. After a change of the era, records
   * of this node may be lost.
   */
  private void acceptEra(long era, String source, GatewayStep step) {
    final long before = store.era();
    final LogPosition leaseBefore = lease.end();
    lease.acceptEra(era, step.now());
    if (!store.acceptEra(era, step.now())) {
      return;
    }
    crashGuard.saveRefusals();
    registration.scheduleRewrite(step.now().plus(peers.staggeredDelay(REGISTRATION_SPACING)));
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
    store.recordConfiguration();
    confirmation.recordVersion(newer.version());
    allowances.configure(newer.tenants(), step.now());
    coordinatorRole.configureAllowances(newer, floorCount.nodes());
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
      broadcast(new FleetMessage.ConfigurationTold(newer), step);
    }
  }

  private void apply(DirectoryChange change, Instant asOf, String source, GatewayStep step) {
    DirectoryChange significant = directory.significantPart(change);
    directory
        .accept(change, asOf, step.now())
        .forEach(runnerChange -> runnerNotifications.log(runnerChange, source, step));
    boolean relays = relaying && source.equals(SOURCE_STORE);
    if (relays && !significant.isEmpty()) {
      DirectoryChange relay = significant.whole() ? directory.snapshot() : significant;
      broadcast(new FleetMessage.DirectoryTold(relay), step);
    }
  }

  private void acceptPeerMessage(
      GatewayEvent.PeerMessageReceived received, FleetMessage message, GatewayStep step) {
    switch (message) {
      case FleetMessage.Beat beat -> acceptHeartbeat(beat, step);
      case FleetMessage.DemandTold demand ->
          coordinatorRole.acceptDemand(received.from(), received.incarnation(), demand, step.now());
      case FleetMessage.FleetTold fleet -> {
        runnerStates.accept(fleet.views(), fleet.forecasts(), step.now());
        acceptGrants(fleet.grants(), step);
      }
      case FleetMessage.ConfigurationTold configurationUpdate ->
          acceptConfiguration(configurationUpdate.configuration(), received.from(), step);
      case FleetMessage.AllowanceAsked asked -> owners.answer(received, asked, step);
      case FleetMessage.AllowanceAnswered answered ->
          forwarder.acceptAllowance(answered, configuration, step);
      case FleetMessage.AllowanceReturned returned -> owners.acceptReturned(returned, step);
      case FleetMessage.OwnersTold told -> owners.accept(told);
      case FleetMessage.CrashTold crash -> crashGuard.accept(crash, received.from(), step);
      case FleetMessage.DirectoryTold directoryUpdate -> {
        acceptEra(directoryUpdate.change().to().era(), received.from().value(), step);
        apply(directoryUpdate.change(), Instant.MIN, received.from().value(), step);
      }
    }
  }

  /** Handles a configuration of a peer; one that does not state the access is read again. */
  private void acceptConfiguration(GatewayConfiguration told, NodeId from, GatewayStep step) {
    long version = configuration.map(GatewayConfiguration::version).orElse(0L);
    if (told.access() != GatewayConfiguration.CallerAccess.UNSTATED) {
      apply(told, from.value(), step);
    } else if (told.version() > version) {
      step.log(
          EventCode.PEER_MESSAGE_IGNORED,
          "peer",
          from,
          "message",
          FleetMessage.ConfigurationTold.class.getSimpleName(),
          "whole",
          true);
      store.requestConfiguration();
    }
  }

  private void acceptHeartbeat(FleetMessage.Beat heartbeat, GatewayStep step) {
    Instant now = step.now();
    if (peers.acceptHeartbeat(heartbeat.self(), heartbeat.status(), now)) {
      step.log(
          EventCode.PEER_SEEN, "peer", heartbeat.self().node(), "host", heartbeat.self().host());
      crashGuard.tellRefusals();
    }
    heartbeat.known().forEach(address -> peers.addAddress(address, now));
    runnerNotifications.acceptLeaving(heartbeat.leaving(), heartbeat.self().node().value(), step);
    crashGuard.acceptHeartbeat(heartbeat, step);
    PeerStatus status = heartbeat.status();
    long era = Math.max(status.directoryOffset().era(), status.leaseEnd().era());
    acceptEra(era, heartbeat.self().node().value(), step);
    if (status.directoryChange().known() && !directory.offset().before(status.directoryChange())) {
      directory.confirm(now.minusMillis(status.directoryAgeMillis()));
    }
    confirmation.recordStatement(status, now);
    if (status.fence() > 0) {
      lease.acceptReportedEnd(status.leaseEnd(), now);
    }
    if (status.fence() == 0 && status.lastFence() > 0) {
      lease.acceptStopNotice(status.lastFence(), status.quietMillis(), now);
    }
    if (relaying) {
      peerSynchronizer.accept(heartbeat, configuration, directory, step);
    }
  }

  // Progress

  private void advance(GatewayEvent event, GatewayStep step) {
    boolean requestEvent = concernsRequestsOnly(event);
    if (!requestEvent) {
      advanceFleet(event instanceof GatewayEvent.Tick, step);
    }
    if (crashGuard.takeRefusalAdded()) {
      forwarder.refuseCrashing(step);
      nextHeartbeat = step.now();
    }
    reportDemand(step);
    if (drain.isDraining() && (!requestEvent || drain.requiresCertainty(step.now()))) {
      forwarder.refuseUnfinishable(drain, step);
    }
    boolean hasCoordinator = coordinatorNode.isPresent() || !coordinatorSeen;
    forwarder.advance(configuration, sharingNodes, hasCoordinator, step);
    if (forwarder.takeAdmittedLater()) {
      expediteDemandReport(step.now());
    }
    if (!requestEvent) {
      updateReadiness(step);
      codecWarmUp.advance(configuration, directory, step);
      int endedAtDeadline = drain.isDeadlineReached(step.now()) ? forwarder.endAll(step) : 0;
      drain.advance(forwarder.size(), endedAtDeadline, step);
    }
  }

  /** Returns whether an event changes nothing that the fleet protocols depend on. */
  private static boolean concernsRequestsOnly(GatewayEvent event) {
    return switch (event) {
      case GatewayEvent.RequestArrived _,
          GatewayEvent.AttemptUpdated _,
          GatewayEvent.CallerDisconnected _ ->
          true;
      case GatewayEvent.PeerMessageReceived received ->
          switch (received.message()) {
            case FleetMessage.AllowanceAsked _,
                FleetMessage.AllowanceAnswered _,
                FleetMessage.AllowanceReturned _,
                FleetMessage.OwnersTold _ ->
                true;
            default -> false;
          };
      default -> false;
    };
  }

  /** Advances the fleet protocols. They do not depend on events of single requests. */
  private void advanceFleet(boolean tick, GatewayStep step) {
    Instant now = step.now();
    if (tick) {
      owners.logUses(step);
      directory.advance(now);
      runnerStates.advance(now);
      peers.advance(now);
    }
    List<PeerTable.Peer> live = peers.live(now);
    sharingNodes = peers.sharerCount(live);
    updateFloors(now);
    updateCoordination(live, step);
    readStore(live, step);
    confirmation.logChange(configuration, step);
    crashGuard.advance(store.isReachable(), lease.isHeld(), step);
    sendHeartbeat(step);
    List<ShareGrant> ownGrants =
        coordinatorRole.advance(configuration, live, peers.heartbeatSlowdown(), step);
    acceptGrants(ownGrants, step);
  }

  private void acceptGrants(List<ShareGrant> grants, GatewayStep step) {
    if (owners.accept(grants, step)) {
      nextDemandReport = step.now();
    }
  }

  private void updateFloors(Instant now) {
    boolean changed =
        floorCount.update(
            1 + peers.addresses().size(),
            coordinatorNode.isPresent(),
            Duration.between(startedAt, now),
            now);
    if (changed) {
      allowances.setNodes(floorCount.nodes(), now);
      configuration.ifPresent(
          known -> coordinatorRole.configureAllowances(known, floorCount.nodes()));
    }
  }

  private void updateCoordination(List<PeerTable.Peer> live, GatewayStep step) {
    Instant now = step.now();
    boolean expired = lease.isHeld() && !lease.isSafe(now);
    boolean provisional = lease.isHeld() && now.isBefore(startedAt.plus(PROVISIONAL_TIME));
    boolean wantsLease =
        CoordinatorElection.shouldHoldLease(
                settings.self(), status(now), lease.isHeld(), expired, live, !peers.isLarge())
            && !(provisional && CoordinatorElection.isOutranked(settings.self(), live));
    lease
        .advance(wantsLease, () -> coordinatorRole.loadHistory(now), now)
        .ifPresent(call -> step.emit(new GatewayEffect.CallLease(call)));
    if (lease.fence() != heldFence) {
      heldFence = lease.fence();
      if (heldFence > 0) {
        coordinatorRole.begin(heldFence, owners.known(), now);
        step.log(EventCode.LEASE_GAINED, "fence", heldFence);
      } else {
        coordinatorRole.stop();
        step.log(EventCode.LEASE_LOST, "last_order_ms", coordinatorRole.lastOrderAgeMillis(now));
      }
      nextHeartbeat = now;
    }
    Optional<NodeId> before = coordinatorNode;
    coordinatorNode = CoordinatorElection.coordinator(self, lease.fence(), live);
    coordinatorSeen |= coordinatorNode.isPresent();
    if (!before.equals(coordinatorNode)) {
      nextDemandReport = now;
      lastEmptyReportAt = Instant.EPOCH;
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
    boolean unconfirmed = confirmation.needsOwnRead(now);
    store.setConfigurationUrgent(unconfirmed);
    boolean stale = directory.age(now).compareTo(timings.maxDirectoryAge()) > 0 || unconfirmed;
    relaying =
        CoordinatorElection.relay(settings.self(), status(now), live)
            .filter(self::equals)
            .isPresent();
    boolean watching = relaying || stale;
    for (StoreRead read :
        store.advance(watching, directory.offset(), registration.state(), live.isEmpty(), now)) {
      step.emit(new GatewayEffect.ReadStore(read));
    }
    if (registration.tryBeginWrite(store.isReachable() && directory.offset().known(), now)) {
      step.emit(new GatewayEffect.RegisterNode(settings.self()));
    }
  }

  private PeerStatus status(Instant now) {
    return new PeerStatus(
        lease.fence(),
        lease.lastFence(),
        lease.successorWait(now).toMillis(),
        lease.isHeld() ? lease.end() : LogPosition.NONE,
        store.isReachable() && !store.lastAnswerAt().equals(Instant.MIN),
        !now.isBefore(startedAt.plus(timings.settleTime())),
        drain.isDraining(),
        configuration.map(GatewayConfiguration::version).orElse(0L),
        directory.offset(),
        directory.significantOffset(),
        Math.max(0, directory.age(now).toMillis()),
        confirmation.age(now).map(Duration::toMillis));
  }

  private void sendHeartbeat(GatewayStep step) {
    if (step.now().isBefore(nextHeartbeat)) {
      return;
    }
    double slowdown = lease.isHeld() ? 1 : peers.heartbeatSlowdown();
    nextHeartbeat =
        step.now().plusMillis(Math.round(timings.heartbeatInterval().toMillis() * slowdown));
    boolean includesPeers = heartbeatCount++ % HEARTBEATS_PER_PEER_LIST == 0;
    List<NodeAddress> knownPeers = includesPeers ? liveAddresses(step.now()) : List.of();
    FleetMessage.Beat heartbeat =
        FleetMessage.Beat.of(
            settings.self(), knownPeers, status(step.now()), directory.unconfirmedLeaves());
    heartbeat = crashGuard.complete(heartbeat, includesPeers, step.now());
    send(peers.heartbeatTargets(lease.isHeld(), step.now()), heartbeat, step);
    if (lease.isHeld()) {
      tellOwners(step);
    }
  }

  /** Tells all nodes which of them own the tenants; nothing without limited tenants. */
  private void tellOwners(GatewayStep step) {
    FleetMessage.OwnersTold told =
        new FleetMessage.OwnersTold(
            lease.fence(), coordinatorRole.chooseOwners(peers.live(step.now())));
    if (!told.owners().isEmpty()) {
      owners.accept(told);
      broadcast(told, step);
    }
  }

  private void expediteDemandReport(Instant now) {
    if (forwarder.hasWaiting() && nextDemandReport.isAfter(now.plusMillis(DEMAND_BATCH_MILLIS))) {
      nextDemandReport = now.plusMillis(DEMAND_BATCH_MILLIS);
    }
  }

  private void reportDemand(GatewayStep step) {
    Instant now = step.now();
    if (now.isBefore(nextDemandReport)) {
      return;
    }
    nextDemandReport =
        now.plusMillis(Math.round(timings.demandInterval().toMillis() * peers.heartbeatSlowdown()));
    List<ModelDemand> demands = forwarder.demands(now);
    List<RunnerUse> uses = runnerStates.collectUses(now);
    List<TenantUse> tenants = allowances.isReportDue(now) ? allowances.report(now) : List.of();
    boolean empty = peers.isLarge() && demands.isEmpty() && uses.isEmpty() && tenants.isEmpty();
    if (empty && now.isBefore(lastEmptyReportAt.plus(EMPTY_REPORT_INTERVAL))) {
      return;
    }
    lastEmptyReportAt = empty ? now : Instant.EPOCH;
    FleetMessage.DemandTold report =
        new FleetMessage.DemandTold(
            demands, uses, runnerStates.viewRevision(), tenants, allowances.ownsTenant(now));
    if (lease.isHeld()) {
      allowances.ignoreGrantsBefore(lease.fence());
      coordinatorRole.acceptDemand(self, settings.self().incarnation(), report, now);
      return;
    }
    coordinatorNode
        .flatMap(node -> peers.live(node, now))
        .ifPresent(
            peer -> {
              allowances.ignoreGrantsBefore(peer.status().fence());
              step.emit(new GatewayEffect.SendPeer(peer.address(), report));
            });
  }

  private void broadcast(FleetMessage message, GatewayStep step) {
    send(liveAddresses(step.now()), message, step);
  }

  private List<NodeAddress> liveAddresses(Instant now) {
    return peers.live(now).stream().map(PeerTable.Peer::address).toList();
  }

  private static void send(List<NodeAddress> peers, FleetMessage message, GatewayStep step) {
    peers.forEach(peer -> step.emit(new GatewayEffect.SendPeer(peer, message)));
  }

  private void updateReadiness(GatewayStep step) {
    boolean nowReady =
        !drain.isDraining() && configuration.isPresent() && directory.offset().known();
    if (nowReady != ready) {
      ready = nowReady;
      step.emit(new GatewayEffect.SetReady(ready));
      if (ready) {
        codecWarmUp.scheduleFrom(step.now());
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
