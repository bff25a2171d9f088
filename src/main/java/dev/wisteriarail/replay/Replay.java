package dev.wisteriarail.replay;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeCore;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.DeploymentSpec;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.IdempotencyKey;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.placement.PlacementPolicy;
import dev.wisteriarail.core.request.AttemptOutcome;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.Target;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One replay of a trace in virtual time: runs the cores of several nodes against fakes of the
 * systems around them.
 *
 * <p>Life cycle: {@link #run} once. The same input gives the same result. Not thread-safe.
 */
public final class Replay implements ReplayEngine.Listener {

  private static final Duration LEAD_TIME = Duration.ofSeconds(10);
  private static final Duration HOP_DELAY = Duration.ofMillis(1);
  private static final Duration APPEND_DELAY = Duration.ofMillis(3);
  private static final Duration LOG_READ_DELAY = Duration.ofMillis(2);
  private static final Duration LOG_POLL_INTERVAL = Duration.ofMillis(500);
  private static final Duration REPORT_DELAY = Duration.ofMillis(100);
  private static final Duration REPORT_POLL_INTERVAL = Duration.ofSeconds(2);
  private static final Duration VM_LIST_POLL_INTERVAL = Duration.ofSeconds(2);
  private static final int TIMELINE_SAMPLES = 720;
  private static final long MICROS_PER_MILLI = 1_000;
  private static final CellId CELL = CellId.of("main");

  private final VirtualTime time;
  private final List<Section> sections;
  private final Configuration configuration;
  private final List<TraceLine> trace;
  private final ReplayOptions options;
  private final ReplayLog log = new ReplayLog();
  private final ReplayWeightStore weightStore;
  private final ReplayMeter meter;
  private final List<ReplayNode> nodes = new ArrayList<>();
  private final Map<NodeId, ReplayNode> nodesById = new HashMap<>();
  private final Map<RunnerId, ReplayEngine> engines = new TreeMap<>();
  private final Map<RequestId, TraceLine> linesByRequest = new HashMap<>();
  private final Map<AttemptId, ReplayNode> nodesByAttempt = new HashMap<>();
  private final Set<RunnerId> pendingReports = new HashSet<>();
  private final SplittableRandom balancerRandom = new SplittableRandom(1);
  private final long endMicros;

  private Replay(List<Section> sections, List<TraceLine> trace, ReplayOptions options) {
    this.sections = overrideColdStartWeight(sections, options.coldStartWeight());
    this.trace = trace;
    this.options = options;
    long firstMs = trace.isEmpty() ? 0 : trace.getFirst().atMs();
    time = VirtualTime.startingAt(firstMs - LEAD_TIME.toMillis());
    configuration = Configuration.merge(Revision.of(1), this.sections);
    DeploymentSpec deployment = configuration.deployment();
    weightStore =
        new ReplayWeightStore(time, deployment.loadsPerSecond(), deployment.concurrentLoads());
    endMicros = trace.isEmpty() ? 0 : trace.getLast().atMs() * MICROS_PER_MILLI;
    meter = new ReplayMeter(time, endMicros);
  }

  /**
   * Replays a trace.
   *
   * @param sections the configuration of the deployment
   * @param trace the requests in order of arrival
   * @param options policy, faults and intervals
   */
  public static ReplayResult.WithTimeline run(
      List<Section> sections, List<TraceLine> trace, ReplayOptions options) {
    Replay replay = new Replay(sections, trace, options);
    replay.start();
    replay.runToEnd();
    return replay.meter.result(replay.configuration.deployment().name(), options.policyName());
  }

  // Set-up

  private void start() {
    for (RunnerSpec runner : configuration.runners().values()) {
      engines.put(runner.id(), new ReplayEngine(time, runner, weightStore, meter, this));
    }
    meter.setEngines(engines.values());
    publishConfiguration();
    PlacementPolicy policy = options.policy().apply(TraceArrivals.of(trace));
    List<FailureDomain> domains =
        configuration.runners().values().stream()
            .map(RunnerSpec::failureDomain)
            .distinct()
            .sorted()
            .toList();
    for (int i = 0; i < options.nodes(); i++) {
      addNode(i, domains.get(i % domains.size()), policy);
    }
    nodes.forEach(this::startPolling);
    engines.values().forEach(this::startReports);
    options.faults().forEach(this::schedule);
    long sampleMicros = Math.max(MICROS_PER_MILLI, (endMicros - time.micros()) / TIMELINE_SAMPLES);
    time.scheduleAfter(LEAD_TIME, () -> sample(sampleMicros));
    scheduleArrival(0);
  }

  /**
   * Publishes referenced sections first: those with runners, then those with kinds, then the
   * others.
   */
  private void publishConfiguration() {
    sections.stream()
        .sorted(
            Comparator.comparing((Section section) -> section.runners().isEmpty())
                .thenComparing(section -> section.kinds().isEmpty())
                .thenComparing(Section::name))
        .forEach(
            section ->
                log.append(
                    RecordId.of("answers." + section.name()),
                    "operator",
                    new RecordBody.ConfigurationChanged(
                        Revision.NONE, section, "operator", "replay")));
  }

  private void addNode(int index, FailureDomain domain, PlacementPolicy policy) {
    NodeSettings settings =
        new NodeSettings(
            NodeId.of("n" + (index + 1)),
            Incarnation.of(1),
            domain,
            CELL,
            index + 1L,
            options.timings());
    NodeCore core = NodeCore.create(settings, policy.planner());
    ReplayNode node = new ReplayNode(time, settings, core, this::perform);
    nodes.add(node);
    nodesById.put(settings.node(), node);
  }

  private void startPolling(ReplayNode node) {
    repeat(VM_LIST_POLL_INTERVAL, () -> node.handle(new Event.VmListRead(vmList())));
    repeat(LOG_POLL_INTERVAL, () -> node.readLog(log));
  }

  private void startReports(ReplayEngine engine) {
    repeat(REPORT_POLL_INTERVAL, () -> report(engine));
  }

  private void repeat(Duration interval, Runnable task) {
    task.run();
    time.scheduleAfter(interval, () -> repeat(interval, task));
  }

  private List<VmEntry> vmList() {
    return nodes.stream()
        .map(ReplayNode::settings)
        .map(one -> new VmEntry(one.node(), "127.0.0.1", 1, one.failureDomain(), false))
        .toList();
  }

  private void sample(long intervalMicros) {
    meter.recordSample();
    if (time.micros() < endMicros) {
      time.scheduleAt(time.micros() + intervalMicros, () -> sample(intervalMicros));
    }
  }

  // Progress

  private void runToEnd() {
    long limit = endMicros + options.drainLimit().toNanos() / 1_000;
    while (time.micros() <= endMicros || (meter.openRequests() > 0 && time.micros() < limit)) {
      time.runNext();
    }
  }

  private void scheduleArrival(int index) {
    if (index < trace.size()) {
      time.scheduleAt(trace.get(index).atMs() * MICROS_PER_MILLI, () -> handleArrival(index));
    }
  }

  private void handleArrival(int index) {
    TraceLine line = trace.get(index);
    RequestId id = RequestId.of("q" + index);
    linesByRequest.put(id, line);
    KindId kind = KindId.of(line.kind());
    ModelId model = ModelId.of(line.model());
    meter.recordArrival(id, line, configuration.kinds().get(kind).deadline().toMillis());
    InboundRequest request =
        new InboundRequest(
            id,
            CustomerId.of(line.customer()),
            kind,
            new Target.ModelTarget(model, Optional.ofNullable(line.adapter()).map(AdapterId::of)),
            Optional.ofNullable(line.key()).map(IdempotencyKey::of),
            Optional.empty(),
            Optional.empty(),
            "{\"prompt\":\"q" + index + "\"}");
    ReplayNode node = nodes.get(balancerRandom.nextInt(nodes.size()));
    time.scheduleAfter(HOP_DELAY, () -> node.handle(new Event.RequestArrived(request)));
    scheduleArrival(index + 1);
  }

  // Effects

  private void perform(ReplayNode node, Effect effect) {
    switch (effect) {
      case Effect.AnswerChunk chunk ->
          time.scheduleAfter(HOP_DELAY, () -> meter.recordFirstToken(chunk.request()));
      case Effect.EndRequest end -> {
        linesByRequest.remove(end.request());
        meter.recordEnd(end.request(), end.ending());
      }
      case Effect.Dispatch dispatch -> dispatch(node, dispatch);
      case Effect.CancelAttempt cancel ->
          time.scheduleAfter(
              HOP_DELAY, () -> engines.get(cancel.runner()).cancel(cancel.attempt()));
      case Effect.OrderEngine order -> time.scheduleAfter(HOP_DELAY, () -> order(node, order));
      case Effect.RequestReport request ->
          time.scheduleAfter(HOP_DELAY, () -> reportTo(node, engines.get(request.runner())));
      case Effect.Append append -> time.scheduleAfter(APPEND_DELAY, () -> append(node, append));
      case Effect.SendPeer send -> {
        ReplayNode peer = nodesById.get(send.to());
        NodeSettings from = node.settings();
        if (peer != null) {
          time.scheduleAfter(
              HOP_DELAY,
              () ->
                  peer.handle(
                      new Event.PeerReceived(from.node(), from.incarnation(), send.message())));
        }
      }
      default -> {}
    }
  }

  private void dispatch(ReplayNode node, Effect.Dispatch dispatch) {
    meter.recordDispatch(dispatch.request().id());
    TraceLine line = linesByRequest.get(dispatch.request().id());
    nodesByAttempt.put(dispatch.attempt(), node);
    time.scheduleAfter(HOP_DELAY, () -> engines.get(dispatch.runner()).dispatch(dispatch, line));
  }

  private void order(ReplayNode node, Effect.OrderEngine order) {
    OrderOutcome outcome = engines.get(order.runner()).handleOrder(order, configuration);
    time.scheduleAfter(
        HOP_DELAY,
        () -> node.handle(new Event.OrderAnswered(order.order(), order.runner(), outcome)));
  }

  private void append(ReplayNode node, Effect.Append append) {
    AppendOutcome outcome;
    if (log.isDown()) {
      outcome = new AppendOutcome.NotAppended("the log is down");
    } else {
      outcome = new AppendOutcome.Appended(log.nextOffset());
      log.append(append.record(), node.settings().node().value(), append.body());
      nodes.forEach(reader -> time.scheduleAfter(LOG_READ_DELAY, () -> reader.readLog(log)));
    }
    time.scheduleAfter(
        HOP_DELAY, () -> node.handle(new Event.AppendAnswered(append.record(), outcome)));
  }

  // Engines

  @Override
  public void onFirstToken(AttemptId attempt) {
    ReplayNode node = nodesByAttempt.get(attempt);
    time.scheduleAfter(HOP_DELAY, () -> node.handle(new Event.AttemptProgressed(attempt, 0, "t")));
  }

  @Override
  public void onAttemptEnded(AttemptId attempt, AttemptOutcome outcome) {
    ReplayNode node = nodesByAttempt.remove(attempt);
    time.scheduleAfter(HOP_DELAY, () -> node.handle(new Event.AttemptEnded(attempt, outcome)));
  }

  @Override
  public void onStateChanged(ReplayEngine engine) {
    if (pendingReports.add(engine.spec().id())) {
      time.scheduleAfter(
          REPORT_DELAY,
          () -> {
            pendingReports.remove(engine.spec().id());
            report(engine);
          });
    }
  }

  private void report(ReplayEngine engine) {
    nodes.forEach(node -> reportTo(node, engine));
  }

  private void reportTo(ReplayNode node, ReplayEngine engine) {
    Event event =
        engine.isUp()
            ? new Event.EngineReported(engine.report())
            : new Event.EngineUnreachable(engine.spec().id());
    time.scheduleAfter(HOP_DELAY, () -> node.handle(event));
  }

  // Faults

  private void schedule(FaultLine fault) {
    long from = fault.atMs() * MICROS_PER_MILLI;
    long until = from + fault.forMs() * MICROS_PER_MILLI;
    switch (fault.fault()) {
      case FaultLine.LOG_OUTAGE -> {
        time.scheduleAt(from, () -> log.setDown(true));
        time.scheduleAt(until, () -> log.setDown(false));
      }
      case FaultLine.SLOW_WEIGHT_STORE -> {
        time.scheduleAt(from, () -> weightStore.setSlowdown(fault.factor()));
        time.scheduleAt(until, () -> weightStore.setSlowdown(1));
      }
      default -> {
        ReplayEngine engine = engines.get(RunnerId.of(fault.runner()));
        time.scheduleAt(from, engine::crash);
        time.scheduleAt(from, () -> report(engine));
        time.scheduleAt(until, engine::restart);
      }
    }
  }

  // Helpers

  private static List<Section> overrideColdStartWeight(
      List<Section> sections, OptionalDouble weight) {
    if (weight.isEmpty()) {
      return List.copyOf(sections);
    }
    return sections.stream()
        .map(section -> overrideColdStartWeight(section, weight.getAsDouble()))
        .toList();
  }

  private static Section overrideColdStartWeight(Section section, double weight) {
    return new Section(
        section.name(),
        section.deployment().map(one -> overrideColdStartWeight(one, weight)),
        section.models(),
        section.adapters(),
        section.customers(),
        section.kinds(),
        section.services(),
        section.runners());
  }

  private static DeploymentSpec overrideColdStartWeight(DeploymentSpec deployment, double weight) {
    return new DeploymentSpec(
        deployment.name(),
        deployment.loadsPerSecond(),
        deployment.concurrentLoads(),
        deployment.adapterTransits(),
        weight);
  }
}
