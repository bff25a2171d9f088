package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.Coordinator;
import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.LoadHistory;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.NumberedOrder;
import dev.wisteriarail.core.fleet.OrderLease;
import dev.wisteriarail.core.fleet.PeerTable;
import dev.wisteriarail.core.fleet.Plan;
import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.tenant.AllowanceLedger;
import dev.wisteriarail.core.tenant.ShareGrant;
import dev.wisteriarail.core.tenant.TenantOwner;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Work of the node that holds the order lease: plans model placement, sends orders to runners and
 * publishes the state of the engines to the other nodes.
 *
 * <p>Life cycle: one per run of a node; {@link #begin} and {@link #stop} are called when the node
 * gains and loses the lease. Not thread-safe.
 */
final class CoordinatorRole {

  /**
   * Bits of a view revision below the fencing number. Each lease holder has 65,536 view revisions,
   * and as many again for each lease record that it writes.
   */
  private static final int REVISION_BITS = 16;

  /** Minimum time between two plans; the fastest model load takes a few hundred milliseconds. */
  private static final long PLAN_INTERVAL_MILLIS = 15;

  /**
   * Time in which changes to the loaded models are batched into one message, multiplied by {@code
   * slowdown - 1}.
   */
  private static final long MODEL_UPDATE_MILLIS = 50;

  /**
   * Time in which changes to the request counts are batched, multiplied by {@code slowdown - 1}.
   * Each message goes to all nodes; in a fleet of 64, processing these messages cost a node more
   * than its requests.
   */
  private static final long REQUEST_COUNT_UPDATE_MILLIS = 90;

  /**
   * Demand report intervals for which a new lease holder waits for the reports of all nodes before
   * it sends orders.
   */
  private static final int DEMAND_REPORT_INTERVALS = 2;

  /** Largest number of nodes that own tenants. */
  private static final int MAX_OWNERS = 8;

  /** How many times as slow as the fastest link that of an owner may be. */
  private static final int OWNER_LINK_DIVISOR = 2;

  private final GatewaySettings settings;
  private final OrderLease lease;
  private final RunnerDirectory directory;
  private final RunnerStateTable runnerStates;
  private final Coordinator coordinator = Coordinator.create();
  private final AllowanceLedger ledger;
  private final Map<NodeId, Long> sentRevisions = new HashMap<>();
  private Instant nextViewUpdate = Instant.MIN;
  private Instant nextPlan = Instant.MIN;
  private Instant lastOrderAt = Instant.MIN;
  private Instant startedAt = Instant.MIN;
  private boolean forecastsSent;

  private CoordinatorRole(
      GatewaySettings settings,
      OrderLease lease,
      RunnerDirectory directory,
      RunnerStateTable runnerStates) {
    this.settings = settings;
    ledger = AllowanceLedger.create(settings.allowances());
    this.lease = lease;
    this.directory = directory;
    this.runnerStates = runnerStates;
  }

  static CoordinatorRole create(
      GatewaySettings settings,
      OrderLease lease,
      RunnerDirectory directory,
      RunnerStateTable runnerStates) {
    return new CoordinatorRole(settings, lease, directory, runnerStates);
  }

  /**
   * Resets the state for a new lease.
   *
   * @param fence the fencing number of the lease
   * @param owners the owners of tenants that the previous holder chose
   */
  void begin(long fence, List<TenantOwner> owners, Instant now) {
    coordinator.reset();
    coordinator.inherit(lease.predecessorLoads(), lease::hasNoRecentOrders, now);
    coordinator.raiseRevisionTo(fence << REVISION_BITS);
    ledger.begin(fence, owners, now);
    lastOrderAt = Instant.MIN;
    startedAt = now;
    nextPlan = now;
    nextViewUpdate = now;
    sentRevisions.clear();
  }

  /** Returns the model loads that the next lease holder has to know. */
  LoadHistory loadHistory(Instant now) {
    return coordinator.loads(now);
  }

  /** Discards the state of the engines. Without the lease no order is sent. */
  void stop() {
    coordinator.reset();
  }

  // Input

  /** Handles a node's report of its demand and of the runners that it uses. */
  void acceptDemand(
      NodeId node, Incarnation incarnation, FleetMessage.DemandTold demand, Instant now) {
    coordinator.acceptDemand(
        node.value(), incarnation.value(), demand.demands(), demand.uses(), now);
    sentRevisions.put(node, demand.viewRevision());
    ledger.accept(node.value(), incarnation.value(), demand.tenants(), demand.owner(), now);
  }

  /** Applies a configuration and the number of nodes that share the tenants' floors. */
  void configureAllowances(GatewayConfiguration configuration, int nodes) {
    ledger.configure(configuration.tenants(), nodes);
  }

  /**
   * Chooses the owners of tenants among the live nodes with the fastest links. The coordinator is
   * one only if there is no other, as it has most other work.
   */
  List<TenantOwner> chooseOwners(List<PeerTable.Peer> live) {
    String self = settings.self().node().value();
    List<NodeAddress> others =
        live.stream()
            .filter(peer -> !peer.status().draining())
            .map(PeerTable.Peer::address)
            .sorted(NodeAddress.BY_RANK)
            .toList();
    List<String> candidates =
        others.stream()
            .limit(MAX_OWNERS)
            .filter(node -> OWNER_LINK_DIVISOR * node.linkMbps() >= others.getFirst().linkMbps())
            .map(node -> node.node().value())
            .toList();
    Set<String> running = new HashSet<>(Set.of(self));
    others.forEach(node -> running.add(node.node().value()));
    ledger.chooseOwners(candidates.isEmpty() ? List.of(self) : candidates, running);
    return ledger.owners();
  }

  /** Handles a report from an engine. */
  void acceptReport(
      GatewayEvent.ReportReceived received, GatewayConfiguration configuration, GatewayStep step) {
    RunnerReport report = received.report();
    final Map<String, Set<String>> before = coordinator.occupancy(report.runner());
    coordinator.acceptReport(report, received.requestedAt(), configuration, step.now());
    Map<String, Set<String>> after = coordinator.occupancy(report.runner());
    if (!before.equals(after) || !report.incoming().isEmpty()) {
      step.log(
          EventCode.RUNNER_BOOK_CHANGED,
          "runner",
          report.runner(),
          "orders",
          report.orders(),
          "age_ms",
          Duration.between(received.requestedAt(), step.now()).toMillis(),
          "before",
          before,
          "after",
          after,
          "incoming",
          report.incoming());
    }
  }

  /** Handles the outcome of an order; gives up the lease if the order was fenced. */
  void acceptOrderOutcome(GatewayEvent.OrderCompleted completed, GatewayStep step) {
    lease.recordOrderCompleted(completed.runner(), completed.number(), step.now());
    coordinator.acceptOutcome(
        completed.runner(), completed.number(), completed.outcome(), step.now());
    step.log(
        EventCode.RUNNER_ORDER_ANSWERED,
        "runner",
        completed.runner(),
        "order",
        completed.number(),
        "outcome",
        completed.outcome(),
        "detail",
        completed.detail());
    if (completed.outcome() == FleetOrderOutcome.FENCED) {
      lease.lose();
    }
  }

  // Progress

  /**
   * Sends orders and publishes views if the lease is held.
   *
   * @return the grants of this node
   */
  List<ShareGrant> advance(
      Optional<GatewayConfiguration> configuration,
      List<PeerTable.Peer> live,
      double slowdown,
      GatewayStep step) {
    if (!lease.isHeld()) {
      return List.of();
    }
    boolean demandKnown = hasDemandReports(live, slowdown, step.now());
    sendOrders(configuration, demandKnown, slowdown, step);
    if (!demandKnown) {
      return List.of();
    }
    publishViews(live, slowdown, step);
    return grantsFor(settings.self().node(), step.now());
  }

  /** Returns a node's grants; none if another node may have gained the lease meanwhile. */
  private List<ShareGrant> grantsFor(NodeId node, Instant now) {
    return lease.isExclusive(now) ? ledger.grantsFor(node.value(), now) : List.of();
  }

  private void sendOrders(
      Optional<GatewayConfiguration> configuration,
      boolean demandKnown,
      double slowdown,
      GatewayStep step) {
    Instant now = step.now();
    if (configuration.isEmpty() || now.isBefore(nextPlan)) {
      return;
    }
    nextPlan = now.plusMillis(Math.round(PLAN_INTERVAL_MILLIS * slowdown));
    coordinator.sync(configuration.get(), directory, now);
    for (String runner : coordinator.pollReportRequests(runner -> isAvailable(runner, now), now)) {
      directory
          .usable(runner)
          .ifPresent(entry -> step.emit(new GatewayEffect.RequestReport(entry)));
    }
    if (!lease.mayOrder(now)) {
      coordinator.forecastWhileBlocked(configuration.get(), lease.timeUntilOrders(now), now);
      return;
    }
    if (!demandKnown) {
      return;
    }
    for (NumberedOrder order :
        coordinator.decide(
            configuration.get(),
            runner -> lease.mayOrder(runner, now) && isAvailable(runner, now),
            now)) {
      lastOrderAt = now;
      Duration timeout = lease.recordOrder(order.runner(), order.number(), now);
      step.log(
          EventCode.RUNNER_ORDERED,
          "runner",
          order.runner(),
          "order",
          order.number(),
          "body",
          order.order(),
          "expected",
          order.expectedOrderCount(),
          "fence",
          lease.fence(),
          "reason",
          order.reason(),
          "places_booked",
          order.basis().reservedAdapterSlots(),
          "report_age_ms",
          order.basis().reportAgeMillis(),
          "report_orders",
          order.basis().reportedOrderCount(),
          "report_places",
          order.basis().reportedAdapters(),
          "report_incoming",
          order.basis().reportedIncoming());
      directory
          .usable(order.runner())
          .ifPresent(
              entry ->
                  step.emit(
                      new GatewayEffect.SendOrder(
                          entry, order, settings.self().node().value(), lease.fence(), timeout)));
    }
    logWithheld(step);
  }

  private void logWithheld(GatewayStep step) {
    for (Plan.PlannedOrder order : coordinator.withheldOrders()) {
      step.log(
          EventCode.RUNNER_ORDER_WITHHELD,
          "runner",
          order.runner(),
          "body",
          order.order(),
          "reason",
          order.reason(),
          "room",
          coordinator.occupancy(order.runner()));
    }
  }

  private boolean isAvailable(String runner, Instant now) {
    return directory
        .usable(runner)
        .filter(entry -> runnerStates.remainingPause(entry, now).isZero())
        .isPresent();
  }

  /** Returns whether all live nodes reported their demand, or had enough time to do so. */
  private boolean hasDemandReports(List<PeerTable.Peer> live, double slowdown, Instant now) {
    long waitMillis =
        Math.round(
            settings.timings().demandInterval().toMillis() * slowdown * DEMAND_REPORT_INTERVALS);
    return !now.isBefore(startedAt.plusMillis(waitMillis))
        || (sentRevisions.containsKey(settings.self().node())
            && live.stream().allMatch(peer -> sentRevisions.containsKey(peer.node())));
  }

  private void publishViews(List<PeerTable.Peer> live, double slowdown, GatewayStep step) {
    Instant now = step.now();
    boolean changed = coordinator.revision() > runnerStates.viewRevision();
    boolean modelsChanged = coordinator.modelRevision() > runnerStates.viewRevision();
    Instant latestSend =
        now.plusMillis(
            Math.round(
                (modelsChanged ? MODEL_UPDATE_MILLIS : REQUEST_COUNT_UPDATE_MILLIS)
                    * (slowdown - 1)));
    if (changed && nextViewUpdate.isAfter(latestSend)) {
      nextViewUpdate = latestSend;
    }
    if (now.isBefore(nextViewUpdate)) {
      return;
    }
    nextViewUpdate =
        now.plusMillis(Math.round(settings.timings().demandInterval().toMillis() * slowdown));
    runnerStates.accept(
        coordinator.viewsSince(runnerStates.viewRevision(), now), coordinator.forecasts(), now);
    Map<Long, FleetMessage.FleetTold> messages = new HashMap<>();
    boolean forecasts = !coordinator.forecasts().isEmpty();
    boolean skipEmptyMessages = slowdown > 1 && !forecastsSent && !forecasts;
    forecastsSent = forecasts;
    for (PeerTable.Peer peer : live) {
      long peerRevision = sentRevisions.getOrDefault(peer.node(), 0L);
      FleetMessage.FleetTold message =
          messages.computeIfAbsent(
              peerRevision,
              revision ->
                  FleetMessage.FleetTold.of(
                      lease.fence(),
                      coordinator.viewsSince(revision, now),
                      coordinator.forecasts()));
      List<ShareGrant> grants = grantsFor(peer.node(), now);
      if (skipEmptyMessages && message.views().isEmpty() && grants.isEmpty()) {
        continue;
      }
      step.emit(new GatewayEffect.SendPeer(peer.address(), message.with(grants)));
      sentRevisions.put(peer.node(), coordinator.revision());
    }
  }

  /** Returns the age of the last order since the lease was last gained, or -1 if there was none. */
  long lastOrderAgeMillis(Instant now) {
    return lastOrderAt.equals(Instant.MIN) ? -1 : Duration.between(lastOrderAt, now).toMillis();
  }
}
