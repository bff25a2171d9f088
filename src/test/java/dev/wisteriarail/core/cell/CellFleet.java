package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.CellTimings;
import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeCore;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Timings;
import dev.wisteriarail.core.config.AdapterSpec;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.config.LoadTimes;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.placement.FixedTimeoutPlanner;
import dev.wisteriarail.core.placement.PlacementPlanner;
import dev.wisteriarail.core.request.AttemptOutcome;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.RequestOutcome;
import dev.wisteriarail.core.request.Target;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;

/** Simulates node cores, a log and engines in virtual time; tests inject faults explicitly. */
final class CellFleet {

  static final long GIBIBYTE = 1L << 30;
  static final long MODEL_BYTES = 16 * GIBIBYTE;
  static final CellId CELL = CellId.of("main");
  private static final CustomerId CUSTOMER = CustomerId.of("c1");
  private static final KindId KIND = KindId.of("default");
  private static final Duration TICK = Duration.ofMillis(10);
  private static final Duration MESSAGE_DELAY = Duration.ofMillis(2);

  /** How the log behaves toward one node. */
  enum LogMode {
    UP,
    DOWN,
    LOSES_ANSWERS,
    APPENDS_STUCK
  }

  /** An action scheduled at a time; actions of the same time run in their order. */
  private record Scheduled(Instant at, long order, Runnable action) {}

  /** A node with its inbox, its network cuts and its view of the log. */
  final class Node {
    final NodeId id;
    final Incarnation incarnation;
    final NodeCore core;
    final Deque<Event> inbox = new ArrayDeque<>();
    final Set<NodeId> cutFrom = new HashSet<>();
    final List<Effect.OrderEngine> heldOrders = new ArrayList<>();
    LogMode logMode = LogMode.UP;
    boolean paused;
    boolean dead;
    boolean holdsOrders;
    int nextOffset;
    Instant nextRead = Instant.MIN;
    Instant nextReports = Instant.MIN;
    Instant nextList = Instant.MIN;

    Node(NodeId id, Incarnation incarnation) {
      this.id = id;
      this.incarnation = incarnation;
      core =
          NodeCore.create(
              new NodeSettings(id, incarnation, FailureDomain.of("fd1"), CELL, 1, timings),
              plannerFactory.get());
    }

    void deliver(Event event) {
      if (dead) {
        return;
      }
      if (paused) {
        inbox.add(event);
        return;
      }
      core.handle(event, now).forEach(effect -> perform(this, effect));
    }

    void resume() {
      paused = false;
      while (!inbox.isEmpty()) {
        deliver(inbox.poll());
      }
    }

    /** Sends the orders that were held back, and stops holding back. */
    void releaseOrders() {
      holdsOrders = false;
      heldOrders.forEach(order -> sendOrder(this, order));
      heldOrders.clear();
    }
  }

  final Map<NodeId, Node> nodes = new TreeMap<>();
  final Map<RunnerId, FakeEngine> engines = new TreeMap<>();
  final List<LogRecord> log = new ArrayList<>();
  final Set<NodeId> listedNodes = new TreeSet<>();
  final Map<RequestId, Instant> answered = new TreeMap<>();
  final Map<RequestId, RequestOutcome> outcomes = new TreeMap<>();
  Supplier<PlacementPlanner> plannerFactory =
      () -> FixedTimeoutPlanner.withTimeout(Duration.ofMinutes(30));
  Timings timings = timings(CellTimings.DEFAULT);
  Instant now = Instant.EPOCH.plusSeconds(1);
  long peerMessages;
  int maxReplicas = 1;
  private final List<ModelSpec> models = new ArrayList<>();
  private final List<AdapterSpec> adapters = new ArrayList<>();
  private final Set<RunnerId> applicationRunners = new TreeSet<>();
  private final PriorityQueue<Scheduled> schedule =
      new PriorityQueue<>(Comparator.comparing(Scheduled::at).thenComparingLong(Scheduled::order));
  private long scheduleSequence;
  private long nextRevision;
  private long publishCount;
  private int requestCount;

  static Timings timings(CellTimings bounds) {
    Timings base = Timings.DEFAULT;
    return new Timings(
        base.heartbeat(),
        base.suspectAfter(),
        base.demandReport(),
        base.plan(),
        base.appendRetry(),
        bounds);
  }

  // Set-up

  /**
   * Returns a fleet of nodes n1, n2, ... and engines r1, r2, ... with memory for two models each.
   */
  static CellFleet of(int nodeCount, int engineCount, boolean checksFencing) {
    CellFleet fleet = new CellFleet();
    fleet.addModels(8, "v1");
    for (int i = 1; i <= engineCount; i++) {
      RunnerId id = RunnerId.of("r" + i);
      fleet.engines.put(
          id, new FakeEngine(id, 2 * MODEL_BYTES, checksFencing, Duration.ofSeconds(1)));
    }
    fleet.publish();
    for (int i = 1; i <= nodeCount; i++) {
      fleet.start(NodeId.of("n" + i), 1);
    }
    return fleet;
  }

  void addModels(int count, String version) {
    models.clear();
    LoadTimes times =
        new LoadTimes(Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofSeconds(4));
    for (int i = 1; i <= count; i++) {
      models.add(
          new ModelSpec(
              ModelId.of("m" + i),
              CUSTOMER,
              version,
              MODEL_BYTES,
              1,
              maxReplicas,
              times,
              List.of()));
    }
  }

  void addAdapter(String adapter, String model) {
    adapters.add(new AdapterSpec(AdapterId.of(adapter), CUSTOMER, ModelId.of(model), GIBIBYTE / 4));
  }

  void makeApplicationRunner(String runner) {
    applicationRunners.add(RunnerId.of(runner));
  }

  /** Publishes the current configuration. */
  void publish() {
    List<RunnerSpec> runners =
        engines.values().stream()
            .map(
                engine ->
                    new RunnerSpec(
                        engine.id,
                        "http://127.0.0.1:1",
                        FailureDomain.of("fd1"),
                        applicationRunners.contains(engine.id)
                            ? RunnerRole.APPLICATION
                            : RunnerRole.MODEL,
                        engine.capacity,
                        8,
                        64,
                        engine.checksFencing))
            .toList();
    Section section =
        new Section(
            "test",
            Optional.empty(),
            List.copyOf(models),
            List.copyOf(adapters),
            List.of(new CustomerSpec(CUSTOMER, List.of(), 1, 1000, 1000, 1000, 1000)),
            List.of(new KindSpec(KIND, Urgency.URGENT, Duration.ofSeconds(60), true)),
            List.of(),
            runners);
    RecordBody change =
        new RecordBody.ConfigurationChanged(Revision.of(nextRevision), section, "test", "test");
    publishCount++;
    nextRevision++;
    store(RecordId.of("conf" + publishCount), "test", change);
  }

  Node start(NodeId id, long incarnation) {
    Node node = new Node(id, Incarnation.of(incarnation));
    nodes.put(id, node);
    listedNodes.add(id);
    return node;
  }

  // Time

  /** Advances the virtual time. */
  void run(Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      now = now.plus(TICK);
      while (!schedule.isEmpty() && !schedule.peek().at().isAfter(now)) {
        schedule.poll().action().run();
      }
      for (Node node : List.copyOf(nodes.values())) {
        tick(node);
      }
    }
  }

  /** Advances the time until a condition holds; returns whether it held within the limit. */
  boolean runUntil(Duration limit, Supplier<Boolean> condition) {
    Instant end = now.plus(limit);
    while (now.isBefore(end) && !condition.get()) {
      run(TICK);
    }
    return condition.get();
  }

  private void tick(Node node) {
    if (node.dead || node.paused) {
      return;
    }
    if (!now.isBefore(node.nextList)) {
      node.nextList = now.plusSeconds(1);
      node.deliver(new Event.VmListRead(listedNodes.stream().map(CellFleet::entry).toList()));
    }
    read(node);
    if (!now.isBefore(node.nextReports)) {
      node.nextReports = now.plusMillis(200);
      engines.values().forEach(engine -> report(node, engine));
    }
    if (node.core.nextWakeUp().filter(due -> !due.isAfter(now)).isPresent()) {
      node.deliver(new Event.TimerFired());
    }
  }

  private void read(Node node) {
    boolean due = !now.isBefore(node.nextRead);
    if (node.logMode == LogMode.DOWN) {
      if (due) {
        node.nextRead = now.plusMillis(200);
        node.deliver(new Event.LogReadFailed("down"));
      }
    } else if (due || node.nextOffset < log.size()) {
      node.nextRead = now.plusMillis(500);
      List<LogRecord> batch = List.copyOf(log.subList(node.nextOffset, log.size()));
      node.nextOffset = log.size();
      node.deliver(new Event.LogRead(batch, node.nextOffset, 0));
    }
  }

  private void report(Node node, FakeEngine engine) {
    if (engine.down || engine.cutFrom.contains(node.id)) {
      node.deliver(new Event.EngineUnreachable(engine.id));
    } else {
      node.deliver(new Event.EngineReported(engine.report(now)));
    }
  }

  void schedule(Duration after, Runnable action) {
    scheduleSequence++;
    schedule.add(new Scheduled(now.plus(after), scheduleSequence, action));
  }

  // Effects

  private void perform(Node node, Effect effect) {
    switch (effect) {
      case Effect.Append append -> append(node, append);
      case Effect.OrderEngine engineOrder -> {
        if (node.holdsOrders) {
          node.heldOrders.add(engineOrder);
        } else {
          schedule(MESSAGE_DELAY, () -> sendOrder(node, engineOrder));
        }
      }
      case Effect.SendPeer send -> {
        peerMessages++;
        schedule(MESSAGE_DELAY, () -> deliverPeerMessage(node, send));
      }
      case Effect.RequestReport request ->
          schedule(MESSAGE_DELAY, () -> report(node, engines.get(request.runner())));
      case Effect.Dispatch dispatch -> schedule(MESSAGE_DELAY, () -> dispatch(node, dispatch));
      case Effect.EndRequest end -> outcomes.put(end.request(), end.ending());
      default -> {}
    }
  }

  private void append(Node node, Effect.Append append) {
    LogMode mode = node.logMode;
    if (mode == LogMode.APPENDS_STUCK) {
      return;
    }
    if (mode == LogMode.DOWN) {
      schedule(MESSAGE_DELAY, () -> answer(node, append, new AppendOutcome.NotAppended("down")));
      return;
    }
    schedule(
        MESSAGE_DELAY,
        () -> {
          store(append.record(), node.id.value(), append.body());
          AppendOutcome outcome =
              mode == LogMode.LOSES_ANSWERS
                  ? new AppendOutcome.Unknown("lost")
                  : new AppendOutcome.Appended(log.size() - 1L);
          schedule(MESSAGE_DELAY, () -> answer(node, append, outcome));
        });
  }

  private static void answer(Node node, Effect.Append append, AppendOutcome outcome) {
    node.deliver(new Event.AppendAnswered(append.record(), outcome));
  }

  void store(RecordId id, String writer, RecordBody body) {
    log.add(new LogRecord(log.size(), id, writer, body));
  }

  private void sendOrder(Node node, Effect.OrderEngine engineOrder) {
    FakeEngine engine = engines.get(engineOrder.runner());
    OrderOutcome outcome =
        engine.down || engine.cutFrom.contains(node.id)
            ? new OrderOutcome.Failed("unreachable")
            : engine.order(engineOrder.fence(), engineOrder.body(), now);
    schedule(
        MESSAGE_DELAY,
        () ->
            node.deliver(
                new Event.OrderAnswered(engineOrder.order(), engineOrder.runner(), outcome)));
  }

  private void deliverPeerMessage(Node from, Effect.SendPeer send) {
    Node to = nodes.get(send.to());
    if (to != null && !from.cutFrom.contains(send.to())) {
      to.deliver(new Event.PeerReceived(from.id, from.incarnation, send.message()));
    }
  }

  private void dispatch(Node node, Effect.Dispatch dispatch) {
    FakeEngine engine = engines.get(dispatch.runner());
    if (!engine.isReady(dispatch.replica().orElseThrow(), now)) {
      node.deliver(
          new Event.AttemptEnded(dispatch.attempt(), new AttemptOutcome.Rejected("not ready")));
      return;
    }
    answered.putIfAbsent(dispatch.request().id(), now);
    node.deliver(new Event.AttemptProgressed(dispatch.attempt(), 0, "x"));
    node.deliver(new Event.AttemptEnded(dispatch.attempt(), new AttemptOutcome.Completed(200)));
  }

  // Callers

  RequestId send(Node node, String model) {
    return send(node, model, Optional.empty());
  }

  RequestId send(Node node, String model, Optional<AdapterId> adapter) {
    requestCount++;
    RequestId id = RequestId.of("q" + requestCount);
    node.deliver(
        new Event.RequestArrived(
            new InboundRequest(
                id,
                CUSTOMER,
                KIND,
                new Target.ModelTarget(ModelId.of(model), adapter),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                "{}")));
    return id;
  }

  // Accessors

  Node node(String name) {
    return nodes.get(NodeId.of(name));
  }

  FakeEngine engine(String name) {
    return engines.get(RunnerId.of(name));
  }

  /** Returns a running node that considers itself the controller; fails if there is none. */
  Node controller() {
    return controllers().getFirst();
  }

  List<Node> controllers() {
    return nodes.values().stream()
        .filter(node -> !node.dead && !node.paused && node.core.isController())
        .toList();
  }

  Node otherThan(Node excluded) {
    return nodes.values().stream().filter(node -> node != excluded).findFirst().orElseThrow();
  }

  long overcommitted() {
    return engines.values().stream().mapToLong(FakeEngine::overcommitted).sum();
  }

  int loads() {
    return engines.values().stream().mapToInt(engine -> engine.loads.size()).sum();
  }

  /** Returns the number of loads of a replica that was loaded before. */
  long repeatedLoads() {
    List<ReplicaId> all =
        engines.values().stream().flatMap(engine -> engine.loads.stream()).toList();
    return all.size() - all.stream().distinct().count();
  }

  <T extends RecordBody> List<T> records(Class<T> type) {
    return log.stream().map(LogRecord::body).filter(type::isInstance).map(type::cast).toList();
  }

  private static VmEntry entry(NodeId node) {
    return new VmEntry(node, "127.0.0.1", 1, FailureDomain.of("fd1"), false);
  }
}
