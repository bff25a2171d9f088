package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.FleetOrder;
import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.FleetTimings;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.LeaseRecord;
import dev.wisteriarail.core.fleet.LoadedModel;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.RetryLimits;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.route.CallerBounds;
import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.HostedModel;
import dev.wisteriarail.core.route.RouteKind;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.route.ServicePool;
import dev.wisteriarail.core.route.ServiceShare;
import dev.wisteriarail.core.tenant.AllowanceLimits;
import dev.wisteriarail.fuzz.VirtualScheduler;
import dev.wisteriarail.fuzz.gateway.LeaseLog;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * Simulates nine nodes, a store and engines without faults in virtual time. The requests ask for
 * more models than the engines hold, so that orders are due all the time.
 */
final class RollingFleet {

  private static final int NODES = 9;
  private static final int ENGINES = 24;
  private static final int MODELS = 96;
  private static final int MODELS_THAT_FIT = 2;
  private static final String SERVICE = "engines";
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration GRACE_PERIOD = Duration.ofSeconds(8);
  private static final Duration BOOT_TIME = Duration.ofSeconds(1);
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(100);
  private static final Duration LOAD_TIME = Duration.ofMillis(840);
  private static final Duration HANDOVER = Duration.ofSeconds(3);

  /**
   * Gaps between orders up to this length occur without faults, when all demand is met for a
   * moment.
   */
  private static final Duration USUAL_GAP = Duration.ofSeconds(1);

  private final VirtualScheduler time = new VirtualScheduler();
  private final SplittableRandom random;
  private final List<Member> members = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private final LeaseLog leaseLog = LeaseLog.create();
  private final List<Instant> claims = new ArrayList<>();
  private final Map<String, NodeAddress> registered = new LinkedHashMap<>();
  private final List<Order> orders = new ArrayList<>();
  private long exchanges;

  RollingFleet(long seed) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < ENGINES; i++) {
      engines.add(new Engine("e" + i, i));
    }
    for (int i = 0; i < NODES; i++) {
      Member member = new Member(i);
      members.add(member);
      time.after(Duration.ofMillis(random.nextInt(300)), () -> start(member));
    }
    time.after(Duration.ofSeconds(4), this::sendRequest);
  }

  private record Order(Instant at, int node, long fence, String runner) {}

  // Control

  void restartAt(Duration at, int node) {
    Member member = members.get(node);
    time.at(
        Instant.EPOCH.plus(at),
        () -> {
          member.draining = true;
          deliver(member, member.run, new GatewayEvent.DrainRequested());
        });
    time.at(Instant.EPOCH.plus(at).plus(GRACE_PERIOD), member::stop);
    time.at(Instant.EPOCH.plus(at).plus(GRACE_PERIOD).plus(BOOT_TIME), () -> start(member));
  }

  void run(Duration until) {
    time.runUntil(Instant.EPOCH.plus(until));
  }

  // Nodes

  private void start(Member member) {
    member.run++;
    member.up = true;
    member.draining = false;
    member.exchanges.clear();
    member.core =
        GatewayCore.create(
            new GatewaySettings(
                new NodeAddress(
                    NodeId.of("n" + member.number),
                    Incarnation.of(time.now().toEpochMilli()),
                    "10.0.0." + member.number,
                    7000,
                    1000,
                    0),
                "a",
                List.of(),
                FleetTimings.DEFAULT.withOrders(HANDOVER, true),
                new RetryLimits(Duration.ofSeconds(10), 0.2, 50),
                AllowanceLimits.DEFAULT,
                GRACE_PERIOD));
    tick(member, member.run);
  }

  private void tick(Member member, long run) {
    if (member.run == run && member.up) {
      deliver(member, run, new GatewayEvent.Tick(false));
      time.after(TICK, () -> tick(member, run));
    }
  }

  private void deliver(Member member, long run, GatewayEvent event) {
    if (member.run == run && member.up) {
      member.core.handle(event, time.now()).forEach(effect -> perform(member, run, effect));
    }
  }

  private void later(int minMillis, int maxMillis, Member member, long run, GatewayEvent event) {
    time.after(millis(minMillis, maxMillis), () -> deliver(member, run, event));
  }

  private Duration millis(int minMillis, int maxMillis) {
    return Duration.ofMillis(random.nextInt(minMillis, maxMillis));
  }

  private void perform(Member member, long run, GatewayEffect effect) {
    switch (effect) {
      case GatewayEffect.SendPeer send -> {
        Member peer = members.get(Integer.parseInt(send.to().host().substring("10.0.0.".length())));
        later(
            1,
            5,
            peer,
            peer.run,
            new GatewayEvent.PeerMessageReceived(
                NodeId.of("n" + member.number), Incarnation.of(member.run), send.message()));
      }
      case GatewayEffect.ReadStore read -> read(member, run, read.call());
      case GatewayEffect.CallLease call ->
          time.after(
              millis(2, 10),
              () ->
                  later(
                      2, 10, member, run, new GatewayEvent.LeaseCallCompleted(lease(call.call()))));
      case GatewayEffect.RegisterNode register -> {
        registered.put(register.address().node().value(), register.address());
        later(2, 10, member, run, new GatewayEvent.RegistrationCompleted(true));
      }
      case GatewayEffect.SendOrder order ->
          time.after(millis(1, 8), () -> order(member, run, order));
      case GatewayEffect.RequestReport ask -> {
        Instant askedAt = time.now();
        RunnerReport report = engine(ask.runner().id()).report(askedAt);
        later(2, 10, member, run, new GatewayEvent.ReportReceived(report, askedAt));
      }
      case GatewayEffect.SendAttempt send ->
          time.after(millis(1, 8), () -> serve(member, run, send));
      case GatewayEffect.SetReady ready -> member.ready = ready.ready();
      default -> {}
    }
  }

  // Store

  private void read(Member member, long run, StoreRead call) {
    StoreAnswer answer =
        switch (call) {
          case StoreRead.NewestConfiguration whole ->
              new StoreAnswer.ConfigurationRead(Optional.of(configuration()), LogPosition.of(0, 1));
          case StoreRead.NextConfiguration next ->
              new StoreAnswer.ConfigurationRead(Optional.empty(), LogPosition.of(0, 1));
          case StoreRead.WholeDirectory whole ->
              new StoreAnswer.DirectoryRead(
                  new DirectoryChange(
                      true,
                      LogPosition.of(0, 0),
                      LogPosition.of(0, 1),
                      engines.stream().map(Engine::entry).toList(),
                      List.of()));
          case StoreRead.DirectoryChanges changes ->
              new StoreAnswer.DirectoryRead(
                  new DirectoryChange(
                      false, changes.from(), LogPosition.of(0, 1), List.of(), List.of()));
          case StoreRead.Nodes nodes ->
              new StoreAnswer.NodesRead(List.copyOf(registered.values()), 0);
          case StoreRead.CrashRefusals refusals -> new StoreAnswer.CrashRefusalsRead(List.of(), 0);
        };
    int delayMillis = call instanceof StoreRead.NextConfiguration ? 1_000 : 2;
    later(
        delayMillis,
        delayMillis + 10,
        member,
        run,
        new GatewayEvent.StoreReadCompleted(call, answer));
  }

  private LeaseAnswer lease(LeaseCall call) {
    LeaseAnswer answer = leaseLog.call(call, time.now());
    if (answer instanceof LeaseAnswer.Appended
        && call instanceof LeaseCall.Append append
        && append.record().kind() == LeaseRecord.Kind.CLAIM) {
      claims.add(time.now());
    }
    return answer;
  }

  private static GatewayConfiguration configuration() {
    List<HostedModel> models =
        IntStream.range(0, MODELS)
            .mapToObj(
                i ->
                    new HostedModel(
                        "m" + i,
                        60,
                        Duration.ofSeconds(6),
                        LOAD_TIME,
                        Duration.ofMillis(630),
                        0,
                        0))
            .toList();
    RouteSpec route =
        new RouteSpec(
            "report",
            "host",
            "/report/",
            RouteKind.STREAMING,
            Duration.ofSeconds(25),
            Duration.ofMillis(2_500),
            1,
            List.of(new ServiceShare(SERVICE, 1)),
            1,
            false,
            false,
            Duration.ofMillis(250),
            false);
    return GatewayConfiguration.withoutTenants(
        1,
        List.of(route),
        Map.of(
            SERVICE,
            new ServicePool(
                SERVICE, 100, Optional.of(new EngineSpec(32, 100_000, 130, 4, 1, models)))),
        CallerBounds.DEFAULT);
  }

  // Engines

  private Engine engine(String id) {
    return engines.stream().filter(each -> each.id.equals(id)).findFirst().orElseThrow();
  }

  private void order(Member member, long run, GatewayEffect.SendOrder order) {
    orders.add(new Order(time.now(), member.number, order.fence(), order.runner().id()));
    FleetOrderOutcome outcome = engine(order.runner().id()).order(order, time.now());
    later(
        1,
        8,
        member,
        run,
        new GatewayEvent.OrderCompleted(order.runner().id(), order.order().number(), outcome, ""));
  }

  private void serve(Member member, long run, GatewayEffect.SendAttempt send) {
    String model = member.exchanges.getOrDefault(send.exchange(), "");
    boolean held = engine(send.runner().id()).holds(model, time.now());
    AttemptResult first =
        held ? new AttemptResult.Started() : new AttemptResult.Answered(421, true, true);
    later(
        5,
        20,
        member,
        run,
        new GatewayEvent.AttemptUpdated(send.exchange(), send.attempt(), first));
    if (held) {
      AttemptResult whole = new AttemptResult.Finished(200);
      later(
          200,
          600,
          member,
          run,
          new GatewayEvent.AttemptUpdated(send.exchange(), send.attempt(), whole));
    }
  }

  private void sendRequest() {
    List<Member> available = members.stream().filter(each -> each.ready && !each.draining).toList();
    if (!available.isEmpty()) {
      Member member = available.get(random.nextInt(available.size()));
      String model = "m" + random.nextInt(MODELS);
      long exchange = ++exchanges;
      member.exchanges.put(exchange, model);
      deliver(
          member,
          member.run,
          new GatewayEvent.RequestArrived(
              new ForwardRequest(
                  exchange,
                  "r" + exchange,
                  "host",
                  "/report/1",
                  Optional.of(Duration.ofSeconds(25)),
                  Optional.of(model),
                  Optional.empty(),
                  true,
                  100,
                  100,
                  List.of(),
                  exchange,
                  0,
                  Optional.empty())));
    }
    time.after(REQUEST_INTERVAL, this::sendRequest);
  }

  // Results

  /** Returns the number of lease claims since a time. */
  int claims(Duration since) {
    return (int) claims.stream().filter(at -> !at.isBefore(Instant.EPOCH.plus(since))).count();
  }

  /** Returns the longest gap between two orders. */
  Duration longestGap(Duration since) {
    return gaps(since).stream().max(Comparator.naturalOrder()).orElseThrow();
  }

  private List<Duration> gaps(Duration since) {
    List<Duration> gaps = new ArrayList<>();
    Instant before = Instant.EPOCH.plus(since);
    for (Order order : orders) {
      if (order.at().isAfter(before)) {
        gaps.add(Duration.between(before, order.at()));
        before = order.at();
      }
    }
    gaps.add(Duration.between(before, time.now()));
    return gaps;
  }

  String summary(Duration since) {
    long gapMillis =
        gaps(since).stream()
            .filter(gap -> gap.compareTo(USUAL_GAP) > 0)
            .mapToLong(Duration::toMillis)
            .sum();
    return claims(since)
        + " claims, "
        + gapMillis
        + " ms without orders, "
        + orders.size()
        + " orders";
  }

  /**
   * Checks that no two nodes used the same fencing number, and that a runner gets no orders from a
   * new holder before the handover delay is over.
   */
  void checkHolders() {
    assertThat(orders).isNotEmpty();
    Map<Long, Integer> holderOf = new HashMap<>();
    Map<String, Order> lastOf = new HashMap<>();
    for (Order order : orders) {
      assertThat(holderOf.merge(order.fence(), order.node(), (a, b) -> a)).isEqualTo(order.node());
      Order before = lastOf.put(order.runner(), order);
      if (before != null && before.node() != order.node()) {
        assertWithMessage("orders %s and %s", before, order)
            .that(Duration.between(before.at(), order.at()))
            .isAtLeast(HANDOVER);
      }
    }
  }

  private static final class Member {

    private final int number;
    private final Map<Long, String> exchanges = new HashMap<>();
    private GatewayCore core;
    private long run;
    private boolean up;
    private boolean ready;
    private boolean draining;

    Member(int number) {
      this.number = number;
    }

    void stop() {
      up = false;
      ready = false;
      run++;
    }
  }

  /** Simulates an engine that has all models on its disk. */
  private static final class Engine {

    private final String id;
    private final Set<String> models = new TreeSet<>();
    private final int port;
    private long accepted;
    private String loading = "";
    private Instant busyUntil = Instant.EPOCH;

    Engine(String id, int number) {
      this.id = id;
      port = 100 + number;
    }

    private void settle(Instant now) {
      if (!loading.isEmpty() && !now.isBefore(busyUntil)) {
        models.add(loading);
        loading = "";
      }
    }

    FleetOrderOutcome order(GatewayEffect.SendOrder order, Instant now) {
      settle(now);
      if (now.isBefore(busyUntil) || order.order().expectedOrderCount() != accepted) {
        return FleetOrderOutcome.CONFLICT;
      }
      accepted++;
      switch (order.order().order()) {
        case FleetOrder.LoadModel load -> {
          assertThat(models.size()).isLessThan(MODELS_THAT_FIT);
          loading = load.model();
          busyUntil = now.plus(LOAD_TIME);
        }
        case FleetOrder.UnloadModel unload -> models.remove(unload.model());
        default -> throw new AssertionError("unexpected order " + order);
      }
      return FleetOrderOutcome.ACCEPTED;
    }

    boolean holds(String model, Instant now) {
      settle(now);
      return models.contains(model);
    }

    RunnerReport report(Instant now) {
      settle(now);
      return new RunnerReport(
          id, 1, accepted, now.isBefore(busyUntil), held(), Set.of(), Set.of(), disk(), 0, 0, 0);
    }

    RunnerEntry entry() {
      return new RunnerEntry(
          id, SERVICE, "10.1.0.1", port, "a", 32, false, 1, 0, held(), Set.of(), disk());
    }

    private List<LoadedModel> held() {
      return models.stream().map(model -> new LoadedModel(model, List.of())).toList();
    }

    private static Set<String> disk() {
      Set<String> all = new TreeSet<>();
      IntStream.range(0, MODELS).forEach(i -> all.add("m" + i));
      return all;
    }
  }
}
