package dev.wisteriarail.capacity;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeCore;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.request.AttemptOutcome;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.Target;
import dev.wisteriarail.peer.PeerFrame;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A fleet of cores in one process and virtual time, without faults, whose costs a meter counts.
 *
 * <p>Life cycle: one per sample. Not thread-safe.
 */
final class BenchFleet {

  private static final Duration NETWORK = Duration.ofMillis(1);
  private static final Duration APPEND = Duration.ofMillis(5);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MAX_WAIT = Duration.ofSeconds(1);
  private static final Duration ANSWER = Duration.ofMillis(300);

  private record Task(Instant at, long sequence, Runnable action) implements Comparable<Task> {

    @Override
    public int compareTo(Task other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final Size size;
  private final Meter meter;
  private final SplittableRandom random = new SplittableRandom(1);
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private final List<BenchNode> nodes = new ArrayList<>();
  private final Map<RunnerId, BenchEngine> engines = new TreeMap<>();
  private final List<VmEntry> list = new ArrayList<>();
  private final Map<String, Revision> sectionRevisions = new TreeMap<>();
  private Instant now = Instant.EPOCH;
  private long sequence;
  private long offset;
  private long revision;
  private long requests;

  BenchFleet(Size size, Meter meter, List<NodeCore> cores) {
    this.size = size;
    this.meter = meter;
    for (RunnerSpec spec : BenchDeployment.platform(size.runners()).runners()) {
      engines.put(spec.id(), new BenchEngine(spec));
    }
    for (int i = 0; i < cores.size(); i++) {
      NodeId id = NodeId.of("n" + i);
      nodes.add(new BenchNode(id, cores.get(i)));
      list.add(
          new VmEntry(
              id, "10.0." + i / 256 + "." + i % 256, 7000, FailureDomain.of("fd" + i % 7), false));
    }
  }

  // Life cycle

  /** Starts the readers, publishes the configuration and lets callers send. */
  void start() {
    publish(BenchDeployment.platform(size.runners()));
    for (int team = 0; team < BenchDeployment.teams(size.models()); team++) {
      publish(BenchDeployment.team(team, size.models(), 1));
    }
    for (BenchNode node : nodes) {
      after(Duration.ZERO, () -> readList(node));
      for (BenchEngine engine : engines.values()) {
        after(randomMillis(REPORT_INTERVAL.toMillis()), () -> poll(node, engine));
      }
    }
    if (size.requestsPerSecond() > 0) {
      after(Duration.ofSeconds(2), this::sendRequest);
    }
    if (size.changesPerHour() > 0) {
      after(Duration.ofSeconds(2), this::change);
    }
  }

  /** Runs for a length of virtual time. */
  void run(Duration length) {
    Instant end = now.plus(length);
    while (!tasks.isEmpty() && !tasks.peek().at().isAfter(end)) {
      Task task = tasks.poll();
      now = task.at();
      task.action().run();
    }
    now = end;
  }

  // Load

  private void sendRequest() {
    requests++;
    int model = random.nextInt(size.models());
    InboundRequest request =
        new InboundRequest(
            RequestId.of("q" + requests),
            BenchDeployment.customer(model),
            BenchDeployment.KIND,
            new Target.ModelTarget(BenchDeployment.modelId(model), Optional.empty()),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            "{\"prompt\":\"q" + requests + "\"}");
    BenchNode node = nodes.get(random.nextInt(nodes.size()));
    step(node, new Event.RequestArrived(request));
    after(Duration.ofNanos((long) (1e9 / size.requestsPerSecond())), this::sendRequest);
  }

  private void change() {
    int team = random.nextInt(BenchDeployment.teams(size.models()));
    publish(BenchDeployment.team(team, size.models(), 1 + random.nextInt(5)));
    after(Duration.ofNanos((long) (3600e9 / size.changesPerHour())), this::change);
  }

  private void publish(Section section) {
    Revision basis = sectionRevisions.getOrDefault(section.name(), Revision.NONE);
    revision++;
    sectionRevisions.put(section.name(), Revision.of(revision));
    append(
        RecordId.of("operator." + revision),
        "operator",
        new RecordBody.ConfigurationChanged(basis, section, "operator", "capacity"));
  }

  // Events

  private void step(BenchNode node, Event event) {
    long begun = System.nanoTime();
    List<Effect> effects = node.core.handle(event, now);
    long spent = System.nanoTime() - begun;
    meter.addNanos(Role.of(event), spent);
    node.nanos += spent;
    effects.forEach(effect -> perform(node, effect));
    arm(node);
  }

  private void arm(BenchNode node) {
    node.timer++;
    long armed = node.timer;
    Duration wait =
        node.core
            .nextWakeUp()
            .map(wakeUp -> Duration.between(now, wakeUp))
            .filter(left -> left.compareTo(MAX_WAIT) < 0)
            .orElse(MAX_WAIT);
    after(
        wait.isNegative() || wait.isZero() ? Duration.ofNanos(1_000) : wait,
        () -> {
          if (armed == node.timer) {
            step(node, new Event.TimerFired());
          }
        });
  }

  private void perform(BenchNode node, Effect effect) {
    switch (effect) {
      case Effect.Append append -> {
        long at = append(append.record(), node.id.value(), append.body());
        after(
            APPEND,
            () ->
                step(
                    node,
                    new Event.AppendAnswered(append.record(), new AppendOutcome.Appended(at))));
      }
      case Effect.SendPeer send -> {
        BenchNode to = nodes.get(Integer.parseInt(send.to().value().substring(1)));
        PeerFrame frame =
            new PeerFrame(PeerFrame.VERSION, node.id, Incarnation.of(1), send.message());
        String kind = send.message().getClass().getSimpleName();
        long before = meter.bytes().getOrDefault("peer " + kind, 0L);
        meter.addPacked("peer " + kind, frame);
        to.receivedBytes += meter.bytes().getOrDefault("peer " + kind, 0L) - before;
        after(
            NETWORK,
            () -> step(to, new Event.PeerReceived(node.id, Incarnation.of(1), send.message())));
      }
      case Effect.Dispatch dispatch -> {
        engines.get(dispatch.runner()).begin();
        after(
            ANSWER,
            () -> {
              engines.get(dispatch.runner()).end();
              step(node, new Event.AttemptProgressed(dispatch.attempt(), 0, "answer"));
              step(
                  node,
                  new Event.AttemptEnded(dispatch.attempt(), new AttemptOutcome.Completed(200)));
            });
      }
      case Effect.OrderEngine order ->
          after(
              NETWORK,
              () -> {
                engines.get(order.runner()).order(order.fence(), order.body());
                step(
                    node,
                    new Event.OrderAnswered(
                        order.order(), order.runner(), new OrderOutcome.Done()));
              });
      case Effect.RequestReport request ->
          after(NETWORK, () -> report(node, engines.get(request.runner())));
      case Effect.EndRequest end -> node.ended++;
      default -> {}
    }
  }

  private long append(RecordId id, String writer, RecordBody body) {
    LogRecord logged = new LogRecord(offset, id, writer, body);
    offset++;
    meter.addJson("append " + body.getClass().getSimpleName(), logged);
    Event.LogRead read = new Event.LogRead(List.of(logged), offset, 0);
    nodes.forEach(node -> after(APPEND, () -> step(node, read)));
    return logged.offset();
  }

  // Readers

  private void readList(BenchNode node) {
    step(node, new Event.VmListRead(list));
    after(LIST_INTERVAL, () -> readList(node));
  }

  private void poll(BenchNode node, BenchEngine engine) {
    report(node, engine);
    after(REPORT_INTERVAL, () -> poll(node, engine));
  }

  private void report(BenchNode node, BenchEngine engine) {
    EngineReport report = engine.report();
    if (node == nodes.getFirst()) {
      meter.addJson("report", report);
    }
    step(node, new Event.EngineReported(report));
  }

  // Accessors

  List<BenchNode> nodes() {
    return nodes;
  }

  // Helpers

  private Duration randomMillis(long most) {
    return Duration.ofNanos(random.nextLong(most * 1_000_000));
  }

  private void after(Duration delay, Runnable action) {
    sequence++;
    tasks.add(new Task(now.plus(delay), sequence, action));
  }

  /** One node of the fleet. */
  static final class BenchNode {
    private final NodeId id;
    private final NodeCore core;
    private long timer;
    private long nanos;
    private long receivedBytes;
    private long ended;

    private BenchNode(NodeId id, NodeCore core) {
      this.id = id;
      this.core = core;
    }

    long nanos() {
      return nanos;
    }

    long receivedBytes() {
      return receivedBytes;
    }

    long ended() {
      return ended;
    }

    void restartCounts() {
      nanos = 0;
      receivedBytes = 0;
      ended = 0;
    }
  }
}
