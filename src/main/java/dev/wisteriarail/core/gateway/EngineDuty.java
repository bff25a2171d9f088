package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.Coordinator;
import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.LoadHistory;
import dev.wisteriarail.core.fleet.NumberedOrder;
import dev.wisteriarail.core.fleet.OrderLease;
import dev.wisteriarail.core.fleet.PeerTable;
import dev.wisteriarail.core.fleet.Plan;
import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.forward.RunnerBoard;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a node does while it holds the lease on orders: it plans, gives orders, and tells the other
 * nodes what the engines hold.
 *
 * <p>Life cycle: one per run of a node; {@link #begin} and {@link #stop} with the lease. Not
 * thread-safe.
 */
final class EngineDuty {

  /**
   * Leaves 65,536 revisions of views to each holder of the lease, and as many more for each record
   * of the lease that it writes.
   */
  private static final int REVISION_BITS = 16;

  /** Least time between two plans; the fastest load takes some hundred milliseconds. */
  private static final long PLAN_MILLIS = 15;

  /** Time in which news of what engines hold are put together, for each doubling of the pace. */
  private static final long NEWS_MILLIS = 50;

  /**
   * The same for news of how many requests they run. Each message goes to all nodes, and among 64
   * of them taking these messages cost a node more than its requests.
   */
  private static final long LOAD_NEWS_MILLIS = 90;

  /** Reports of demand that a new holder of the lease lets a node miss before it orders. */
  private static final int REPORTS_AWAITED = 2;

  private final GatewaySettings settings;
  private final OrderLease lease;
  private final RunnerDirectory directory;
  private final RunnerBoard board;
  private final Coordinator coordinator = Coordinator.create();
  private final Map<NodeId, Long> toldRevision = new HashMap<>();
  private Instant nextFleetTold = Instant.MIN;
  private Instant nextPlan = Instant.MIN;
  private Instant lastOrderAt = Instant.MIN;
  private Instant begunAt = Instant.MIN;
  private boolean forecastsTold;

  private EngineDuty(
      GatewaySettings settings, OrderLease lease, RunnerDirectory directory, RunnerBoard board) {
    this.settings = settings;
    this.lease = lease;
    this.directory = directory;
    this.board = board;
  }

  static EngineDuty create(
      GatewaySettings settings, OrderLease lease, RunnerDirectory directory, RunnerBoard board) {
    return new EngineDuty(settings, lease, directory, board);
  }

  /** Begins anew under a fencing number. */
  void begin(long fence, Instant now) {
    coordinator.reset();
    coordinator.inherit(lease.leftLoads(), lease::isKnownQuiet, now);
    coordinator.startRevisionsAt(fence << REVISION_BITS);
    lastOrderAt = Instant.MIN;
    begunAt = now;
    nextPlan = now;
    nextFleetTold = now;
    toldRevision.clear();
  }

  /** Returns the loads that the next holder of the lease has to know. */
  LoadHistory loads(Instant now) {
    return coordinator.loads(now);
  }

  /** Forgets the engines; no order goes out without the lease. */
  void stop() {
    coordinator.reset();
  }

  // News

  /** Takes what a node's callers want and where its requests run. */
  void acceptDemand(
      NodeId node, Incarnation incarnation, FleetMessage.DemandTold demand, Instant now) {
    coordinator.acceptDemand(
        node.value(), incarnation.value(), demand.demands(), demand.uses(), now);
    toldRevision.put(node, demand.viewRevision());
  }

  /** Takes an engine's report. */
  void acceptReport(GatewayEvent.ReportRead read, GatewayConfiguration known, GatewayStep step) {
    RunnerReport report = read.report();
    final Map<String, Set<String>> before = coordinator.room(report.runner());
    coordinator.acceptReport(report, read.askedAt(), known, step.now());
    Map<String, Set<String>> after = coordinator.room(report.runner());
    if (!before.equals(after) || !report.incoming().isEmpty()) {
      step.log(
          EventCode.RUNNER_BOOK_CHANGED,
          "runner",
          report.runner(),
          "orders",
          report.orders(),
          "age_ms",
          Duration.between(read.askedAt(), step.now()).toMillis(),
          "before",
          before,
          "after",
          after,
          "incoming",
          report.incoming());
    }
  }

  /** Takes the outcome of an order. */
  void acceptOrder(GatewayEvent.OrderTold told, GatewayStep step) {
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

  // Progress

  /** Gives orders and tells the fleet, if the lease is held. */
  void advance(
      Optional<GatewayConfiguration> configuration,
      List<PeerTable.Peer> live,
      double pace,
      GatewayStep step) {
    if (lease.isHeld()) {
      boolean informed = isInformed(live, pace, step.now());
      giveOrders(configuration, informed, pace, step);
      if (informed) {
        tellFleet(live, pace, step);
      }
    }
  }

  private void giveOrders(
      Optional<GatewayConfiguration> configuration,
      boolean informed,
      double pace,
      GatewayStep step) {
    Instant now = step.now();
    if (configuration.isEmpty() || now.isBefore(nextPlan)) {
      return;
    }
    nextPlan = now.plusMillis(Math.round(PLAN_MILLIS * pace));
    coordinator.sync(configuration.get(), directory, now);
    for (String runner : coordinator.takeQuestions(runner -> wantsCalls(runner, now), now)) {
      directory.usable(runner).ifPresent(entry -> step.emit(new GatewayEffect.AskReport(entry)));
    }
    if (!lease.mayOrder(now)) {
      coordinator.forecastBlocked(configuration.get(), lease.ordersIn(now), now);
      return;
    }
    if (!informed) {
      return;
    }
    for (NumberedOrder order :
        coordinator.decide(
            configuration.get(),
            runner -> lease.mayOrder(runner, now) && wantsCalls(runner, now),
            now)) {
      lastOrderAt = now;
      lease.noteOrder(order.runner(), now);
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
          order.reason(),
          "places_booked",
          order.basis().placesBooked(),
          "report_age_ms",
          order.basis().reportAgeMillis(),
          "report_orders",
          order.basis().reportOrders(),
          "report_places",
          order.basis().reportPlaces(),
          "report_incoming",
          order.basis().reportIncoming());
      directory
          .usable(order.runner())
          .ifPresent(
              entry ->
                  step.emit(
                      new GatewayEffect.GiveOrder(
                          entry, order, settings.self().node().value(), lease.fence())));
    }
    logWithheld(step);
  }

  private void logWithheld(GatewayStep step) {
    for (Plan.Placed placed : coordinator.withheld()) {
      step.log(
          EventCode.RUNNER_ORDER_WITHHELD,
          "runner",
          placed.runner(),
          "body",
          placed.order(),
          "reason",
          placed.reason(),
          "room",
          coordinator.room(placed.runner()));
    }
  }

  private boolean wantsCalls(String runner, Instant now) {
    return directory
        .usable(runner)
        .filter(entry -> board.pauseLeft(entry, now).isZero())
        .isPresent();
  }

  /** Returns whether all nodes told what they want and use, or had the time to. */
  private boolean isInformed(List<PeerTable.Peer> live, double pace, Instant now) {
    long limit = Math.round(settings.timings().demand().toMillis() * pace * REPORTS_AWAITED);
    return !now.isBefore(begunAt.plusMillis(limit))
        || (toldRevision.containsKey(settings.self().node())
            && live.stream().allMatch(peer -> toldRevision.containsKey(peer.node())));
  }

  private void tellFleet(List<PeerTable.Peer> live, double pace, GatewayStep step) {
    Instant now = step.now();
    boolean news = coordinator.revision() > board.viewRevision();
    boolean held = coordinator.heldRevision() > board.viewRevision();
    Instant soon = now.plusMillis(Math.round((held ? NEWS_MILLIS : LOAD_NEWS_MILLIS) * (pace - 1)));
    if (news && nextFleetTold.isAfter(soon)) {
      nextFleetTold = soon;
    }
    if (now.isBefore(nextFleetTold)) {
      return;
    }
    nextFleetTold = now.plusMillis(Math.round(settings.timings().demand().toMillis() * pace));
    board.accept(coordinator.viewsSince(board.viewRevision(), now), coordinator.forecasts(), now);
    Map<Long, FleetMessage.FleetTold> messages = new HashMap<>();
    boolean forecasts = !coordinator.forecasts().isEmpty();
    boolean quiet = pace > 1 && !forecastsTold && !forecasts;
    forecastsTold = forecasts;
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
      if (quiet && message.views().isEmpty()) {
        continue;
      }
      step.emit(new GatewayEffect.SendPeer(peer.address(), message));
      toldRevision.put(peer.node(), coordinator.revision());
    }
  }

  /** Returns the time since the last order under the last claim; negative if there was none. */
  long lastOrderAgeMillis(Instant now) {
    return lastOrderAt.equals(Instant.MIN) ? -1 : Duration.between(lastOrderAt, now).toMillis();
  }
}
