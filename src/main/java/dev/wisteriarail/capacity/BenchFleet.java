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
 * A fault-free fleet of node cores in one process and in virtual time, whose costs a {@link Meter}
 * records.
 *
 * <p>Life cycle: one instance per sample. Not thread-safe.
 */
final class BenchFleet {

  private static final Duration NETWORK_DELAY = Duration.ofMillis(1);
  private static final Duration APPEND_DELAY = Duration.ofMillis(5);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);
  private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MAX_TIMER_DELAY = Duration.ofSeconds(1);
  private static final Duration ANSWER_DELAY = Duration.ofMillis(300);

  /** An action at a virtual time. Actions due at the same time run in scheduling order. */
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
  private final List<VmEntry> vmEntries = new ArrayList<>();
  private final Map<String, Revision> sectionRevisions = new TreeMap<>();
  private Instant now = Instant.EPOCH;
  private long lastSequence;
  private long nextOffset;
  private long lastRevision;
  private long requestCount;

  BenchFleet(Size size, Meter meter, List<NodeCore> cores) {
    this.size = size;
    this.meter = meter;
    for (RunnerSpec spec : BenchDeployment.platformSection(size.runners()).runners()) {
      engines.put(spec.id(), new BenchEngine(spec));
    }
    for (int i = 0; i < cores.size(); i++) {
      NodeId id = NodeId.of("n" + i);
      nodes.add(new BenchNode(id, cores.get(i)));
      vmEntries.add(
          new VmEntry(
              id, "10.0." + i / 256 + "." + i % 256, 7000, FailureDomain.of("fd" + i % 7), false));
    }
  }

  // Life cycle

  /** Publishes the configuration and schedules list reads, reports, requests and changes. */
  void start() {
    publish(BenchDeployment.platformSection(size.runners()));
    for (int team = 0; team < BenchDeployment.teamCount(size.models()); team++) {
      publish(BenchDeployment.teamSection(team, size.models(), 1));
    }
    for (BenchNode node : nodes) {
      schedule(Duration.ZERO, () -> readVmList(node));
      for (BenchEngine engine : engines.values()) {
        schedule(randomDelay(REPORT_INTERVAL.toMillis()), () -> pollEngine(node, engine));
      }
    }
    if (size.requestsPerSecond() > 0) {
      schedule(Duration.ofSeconds(2), this::sendRequest);
    }
    if (size.changesPerHour() > 0) {
      schedule(Duration.ofSeconds(2), this::changeConfiguration);
    }
  }

  /** Runs the fleet for a duration of virtual time. */
  void run(Duration duration) {
    Instant end = now.plus(duration);
    while (!tasks.isEmpty() && !tasks.peek().at().isAfter(end)) {
      Task task = tasks.poll();
      now = task.at();
      task.action().run();
    }
    now = end;
  }

  // Load

  private void sendRequest() {
    requestCount++;
    int model = random.nextInt(size.models());
    InboundRequest request =
        new InboundRequest(
            RequestId.of("q" + requestCount),
            BenchDeployment.customerOf(model),
            BenchDeployment.KIND,
            new Target.ModelTarget(BenchDeployment.modelId(model), Optional.empty()),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            "{\"prompt\":\"q" + requestCount + "\"}");
    BenchNode node = nodes.get(random.nextInt(nodes.size()));
    handleEvent(node, new Event.RequestArrived(request));
    schedule(Duration.ofNanos((long) (1e9 / size.requestsPerSecond())), this::sendRequest);
  }

  private void changeConfiguration() {
    int team = random.nextInt(BenchDeployment.teamCount(size.models()));
    publish(BenchDeployment.teamSection(team, size.models(), 1 + random.nextInt(5)));
    schedule(Duration.ofNanos((long) (3600e9 / size.changesPerHour())), this::changeConfiguration);
  }

  private void publish(Section section) {
    Revision baseRevision = sectionRevisions.getOrDefault(section.name(), Revision.NONE);
    lastRevision++;
    sectionRevisions.put(section.name(), Revision.of(lastRevision));
    append(
        RecordId.of("operator." + lastRevision),
        "operator",
        new RecordBody.ConfigurationChanged(baseRevision, section, "operator", "capacity"));
  }

  // Events

  private void handleEvent(BenchNode node, Event event) {
    long startNanos = System.nanoTime();
    List<Effect> effects = node.core.handle(event, now);
    long elapsedNanos = System.nanoTime() - startNanos;
    meter.recordProcessorTime(Role.of(event), elapsedNanos);
    node.processorNanos += elapsedNanos;
    effects.forEach(effect -> perform(node, effect));
    scheduleTimer(node);
  }

  private void scheduleTimer(BenchNode node) {
    node.timerGeneration++;
    long generation = node.timerGeneration;
    Duration delay =
        node.core
            .nextWakeUp()
            .map(wakeUp -> Duration.between(now, wakeUp))
            .filter(untilWakeUp -> untilWakeUp.compareTo(MAX_TIMER_DELAY) < 0)
            .orElse(MAX_TIMER_DELAY);
    schedule(
        delay.isNegative() || delay.isZero() ? Duration.ofNanos(1_000) : delay,
        () -> {
          if (generation == node.timerGeneration) {
            handleEvent(node, new Event.TimerFired());
          }
        });
  }

  private void perform(BenchNode node, Effect effect) {
    switch (effect) {
      case Effect.Append append -> {
        long offset = append(append.record(), node.id.value(), append.body());
        schedule(
            APPEND_DELAY,
            () ->
                handleEvent(
                    node,
                    new Event.AppendAnswered(append.record(), new AppendOutcome.Appended(offset))));
      }
      case Effect.SendPeer send -> {
        BenchNode to = nodes.get(Integer.parseInt(send.to().value().substring(1)));
        PeerFrame frame =
            new PeerFrame(PeerFrame.VERSION, node.id, Incarnation.of(1), send.message());
        String kind = send.message().getClass().getSimpleName();
        long before = meter.bytes().getOrDefault("peer " + kind, 0L);
        meter.recordMessagePack("peer " + kind, frame);
        to.receivedBytes += meter.bytes().getOrDefault("peer " + kind, 0L) - before;
        schedule(
            NETWORK_DELAY,
            () ->
                handleEvent(
                    to, new Event.PeerReceived(node.id, Incarnation.of(1), send.message())));
      }
      case Effect.Dispatch dispatch -> {
        engines.get(dispatch.runner()).attemptStarted();
        schedule(
            ANSWER_DELAY,
            () -> {
              engines.get(dispatch.runner()).attemptEnded();
              handleEvent(node, new Event.AttemptProgressed(dispatch.attempt(), 0, "answer"));
              handleEvent(
                  node,
                  new Event.AttemptEnded(dispatch.attempt(), new AttemptOutcome.Completed(200)));
            });
      }
      case Effect.OrderEngine order ->
          schedule(
              NETWORK_DELAY,
              () -> {
                engines.get(order.runner()).execute(order.fence(), order.body());
                handleEvent(
                    node,
                    new Event.OrderAnswered(
                        order.order(), order.runner(), new OrderOutcome.Done()));
              });
      case Effect.RequestReport request ->
          schedule(NETWORK_DELAY, () -> deliverReport(node, engines.get(request.runner())));
      case Effect.EndRequest end -> node.endedRequests++;
      default -> {}
    }
  }

  private long append(RecordId id, String writer, RecordBody body) {
    LogRecord logged = new LogRecord(nextOffset, id, writer, body);
    nextOffset++;
    meter.recordJson("append " + body.getClass().getSimpleName(), logged);
    Event.LogRead read = new Event.LogRead(List.of(logged), nextOffset, 0);
    nodes.forEach(node -> schedule(APPEND_DELAY, () -> handleEvent(node, read)));
    return logged.offset();
  }

  // Readers

  private void readVmList(BenchNode node) {
    handleEvent(node, new Event.VmListRead(vmEntries));
    schedule(VM_LIST_INTERVAL, () -> readVmList(node));
  }

  private void pollEngine(BenchNode node, BenchEngine engine) {
    deliverReport(node, engine);
    schedule(REPORT_INTERVAL, () -> pollEngine(node, engine));
  }

  private void deliverReport(BenchNode node, BenchEngine engine) {
    EngineReport report = engine.report();
    if (node == nodes.getFirst()) {
      meter.recordJson("report", report);
    }
    handleEvent(node, new Event.EngineReported(report));
  }

  // Accessors

  List<BenchNode> nodes() {
    return nodes;
  }

  // Helpers

  private Duration randomDelay(long maxMillis) {
    return Duration.ofNanos(random.nextLong(maxMillis * 1_000_000));
  }

  private void schedule(Duration delay, Runnable action) {
    lastSequence++;
    tasks.add(new Task(now.plus(delay), lastSequence, action));
  }

  /** A node of the fleet with its cost counters. */
  static final class BenchNode {
    private final NodeId id;
    private final NodeCore core;
    private long timerGeneration;
    private long processorNanos;
    private long receivedBytes;
    private long endedRequests;

    private BenchNode(NodeId id, NodeCore core) {
      this.id = id;
      this.core = core;
    }

    long processorNanos() {
      return processorNanos;
    }

    long receivedBytes() {
      return receivedBytes;
    }

    long endedRequests() {
      return endedRequests;
    }

    void resetCounts() {
      processorNanos = 0;
      receivedBytes = 0;
      endedRequests = 0;
    }
  }
}
