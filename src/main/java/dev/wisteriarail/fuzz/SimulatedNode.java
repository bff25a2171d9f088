package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeCore;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.placement.PlacementPolicy;
import dev.wisteriarail.fuzz.oracle.Observation;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * A node at a fixed address, with the readers and timers that the runtime has around a core. Each
 * start begins a new incarnation with a new core. Not thread-safe.
 *
 * <p>Tasks of an ended incarnation do nothing. Tasks of a paused node wait until it resumes, so an
 * effect decided before a pause may be performed after it.
 */
final class SimulatedNode {

  private static final CellId CELL = CellId.of("main");
  private static final Duration LOG_POLL = Duration.ofMillis(20);
  private static final Duration LOG_WAIT = Duration.ofMillis(500);
  private static final Duration LOG_RETRY = Duration.ofMillis(200);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);
  private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MAX_WAIT = Duration.ofSeconds(1);

  private static final Duration MIN_WAIT = Duration.ofNanos(1_000);

  /** Minimum wait of a core in a busy loop, so that the run terminates. */
  private static final Duration THROTTLED_WAIT = Duration.ofMillis(20);

  private static final Duration STEP_WINDOW = Duration.ofSeconds(1);

  /** Events of one node per second that indicate a busy loop: no load of a run causes as many. */
  private static final int MAX_STEPS_PER_WINDOW = 4_000;

  private final World world;
  private final Fleet fleet;
  private final SeededRandom random;
  private final NodeId id;
  private final int number;
  private NodeCore core;
  private final PlacementPolicy policy;
  private Duration clockOffset = Duration.ZERO;
  private int incarnationNumber;
  private boolean alive;
  private Instant pausedUntil = Instant.MIN;
  private final List<Runnable> deferredTasks = new ArrayList<>();
  private Instant lastAnswer = Instant.MIN;
  private long readOffset;
  private Instant lastLogEvent = Instant.MIN;
  private Set<RunnerId> polled = new TreeSet<>();
  private long timer;
  private Instant stepWindowStart = Instant.EPOCH;
  private int steps;

  SimulatedNode(World world, Fleet fleet, int number, PlacementPolicy policy) {
    this.world = world;
    this.fleet = fleet;
    this.number = number;
    this.policy = policy;
    id = NodeId.of("n" + number);
    random = world.random("node-" + number);
  }

  // Life cycle

  /** Starts a new incarnation with an empty state. */
  void start() {
    if (alive) {
      return;
    }
    incarnationNumber++;
    alive = true;
    pausedUntil = Instant.MIN;
    deferredTasks.clear();
    lastAnswer = Instant.MIN;
    lastLogEvent = Instant.MIN;
    readOffset = 0;
    polled = new TreeSet<>();
    clockOffset = random.nextDuration(0, 100_000);
    core =
        NodeCore.create(
            new NodeSettings(
                id,
                incarnation(),
                Deployment.failureDomain(number),
                CELL,
                random.nextInt(Integer.MAX_VALUE),
                FuzzTimings.timings()),
            policy.planner());
    world.recordNotable(id + " starts as " + incarnationNumber);
    world.observe(new Observation.NodeStarted(id));
    schedule(Duration.ZERO, this::readLog);
    schedule(random.nextDuration(0, 50), this::readVmList);
  }

  /** Ends the process immediately. */
  void kill() {
    if (alive) {
      alive = false;
      world.recordNotable(id + " is killed");
      world.observe(new Observation.NodeStopped(id));
      fleet.callers().closeConnections(id);
    }
  }

  /** Pauses the process until a time. */
  void pause(Instant until) {
    if (alive && until.isAfter(pausedUntil)) {
      pausedUntil = until;
      world.recordNotable(id + " is paused until " + until);
      world.observe(new Observation.NodePaused(id, until));
      world.at(until, this::runDeferredTasks);
    }
  }

  /** Resumes a paused process. */
  void resume() {
    if (world.now().isBefore(pausedUntil)) {
      pausedUntil = world.now();
      world.observe(new Observation.NodePaused(id, pausedUntil));
      runDeferredTasks();
    }
  }

  /** Runs the tasks that were deferred during a pause, in order. */
  private void runDeferredTasks() {
    if (world.now().isBefore(pausedUntil)) {
      return;
    }
    List<Runnable> waiting = List.copyOf(deferredTasks);
    deferredTasks.clear();
    waiting.forEach(Runnable::run);
  }

  // Events

  /** Delivers an event to the current incarnation. */
  void submit(Event event) {
    submit(incarnationNumber, event);
  }

  /** Delivers an event to an incarnation if it is still the current one. */
  void submit(int run, Event event) {
    runUnlessPaused(run, () -> step(event));
  }

  private void step(Event event) {
    Instant decidedAt = world.now();
    countStep(event);
    world.trace(id + " <- " + summary(event));
    List<Effect> effects;
    try {
      effects = core.handle(fleet.defect().alter(id, event), decidedAt.plus(clockOffset));
    } catch (RuntimeException fault) {
      world.recordNotable(id + " fault " + fault + " at " + projectFrames(fault));
      world.observe(new Observation.CoreFault(id, fault + " at " + projectFrames(fault)));
      return;
    }
    for (Effect effect : effects) {
      for (Effect changed : fleet.defect().alter(id, effect)) {
        scheduleEffect(changed, decidedAt);
      }
    }
    pollNewRunners();
    armTimer();
  }

  /** Reports a core in a busy loop: in a deployment it would occupy a whole processor. */
  private void countStep(Event event) {
    if (!world.now().isBefore(stepWindowStart.plus(STEP_WINDOW))) {
      stepWindowStart = world.now();
      steps = 0;
    }
    steps++;
    if (steps == MAX_STEPS_PER_WINDOW) {
      world.observe(
          new Observation.CoreFault(
              id, "busy loop in " + STEP_WINDOW + ", last " + summary(event)));
    }
  }

  private static List<String> projectFrames(RuntimeException fault) {
    return Stream.of(fault.getStackTrace())
        .filter(frame -> frame.getClassName().startsWith("dev.wisteriarail.core"))
        .limit(3)
        .map(frame -> frame.getFileName() + ":" + frame.getLineNumber())
        .toList();
  }

  private void armTimer() {
    timer++;
    long armed = timer;
    Duration wait =
        core.nextWakeUp()
            .map(wakeUp -> Duration.between(world.now().plus(clockOffset), wakeUp))
            .filter(left -> left.compareTo(MAX_WAIT) < 0)
            .orElse(MAX_WAIT);
    Duration minWait = steps < MAX_STEPS_PER_WINDOW ? MIN_WAIT : THROTTLED_WAIT;
    schedule(
        wait.compareTo(minWait) < 0 ? minWait : wait,
        () -> {
          if (armed == timer) {
            step(new Event.TimerFired());
          }
        });
  }

  // Effects

  private void scheduleEffect(Effect effect, Instant decidedAt) {
    if (effect instanceof Effect.Emit emit) {
      world.trace(id + " logs " + emit.event());
      return;
    }
    Duration delay = random.nextDuration(0.01, 0.5);
    boolean toCaller =
        effect instanceof Effect.AnswerChunk
            || effect instanceof Effect.EndRequest
            || effect instanceof Effect.DrainCompleted;
    Instant time = world.now().plus(delay);
    if (toCaller) {
      time = time.isAfter(lastAnswer) ? time : lastAnswer;
      lastAnswer = time;
    }
    int run = incarnationNumber;
    world.at(time, () -> runUnlessPaused(run, () -> perform(effect, decidedAt)));
  }

  private void perform(Effect effect, Instant decidedAt) {
    world.trace(id + " -> " + summary(effect));
    int run = incarnationNumber;
    switch (effect) {
      case Effect.AnswerChunk chunk -> fleet.callers().receiveChunk(id, chunk);
      case Effect.EndRequest end -> fleet.callers().receiveOutcome(id, end);
      case Effect.Dispatch dispatch -> {
        world.recordNotable(
            id + " dispatches " + dispatch.request().id() + " to " + dispatch.runner());
        fleet
            .runner(dispatch.runner())
            .ifPresent(
                runner ->
                    runner.dispatch(
                        dispatch,
                        decidedAt,
                        new FakeRunner.Connection(
                            () -> fleet.network().reaches(id, dispatch.runner()),
                            event -> submit(run, event))));
      }
      case Effect.CancelAttempt cancel ->
          fleet
              .runner(cancel.runner())
              .filter(runner -> fleet.network().reaches(id, cancel.runner()))
              .ifPresent(
                  runner ->
                      world.after(
                          random.nextDuration(0.5, 2), () -> runner.cancel(cancel.attempt())));
      case Effect.OrderEngine order -> order(order, run);
      case Effect.RequestReport request -> report(request.runner());
      case Effect.Append append ->
          fleet
              .log()
              .append(
                  id,
                  append.record(),
                  append.body(),
                  outcome -> submit(run, new Event.AppendAnswered(append.record(), outcome)));
      case Effect.SendPeer send ->
          fleet.network().send(id, incarnation(), send.to(), send.message());
      case Effect.Emit emit -> {}
      case Effect.DrainCompleted completed -> {
        world.recordNotable(id + " has drained");
        world.observe(new Observation.DrainDone(id));
        fleet.finishDrain(this);
      }
    }
  }

  private void order(Effect.OrderEngine order, int run) {
    fleet
        .runner(order.runner())
        .ifPresent(
            runner ->
                runner.order(
                    order,
                    () -> fleet.network().reaches(id, order.runner()),
                    outcome ->
                        submit(
                            run, new Event.OrderAnswered(order.order(), order.runner(), outcome))));
  }

  // Readers of the platform and of the runners

  private void readLog() {
    Event event = fleet.log().read(id, readOffset);
    int run = incarnationNumber;
    if (event instanceof Event.LogRead read) {
      readOffset = read.nextOffset();
      boolean quiet = world.now().isBefore(lastLogEvent.plus(LOG_WAIT));
      if (!read.records().isEmpty() || !quiet) {
        lastLogEvent = world.now();
        world.after(random.nextDuration(0.5, 3), () -> submit(run, event));
      }
      schedule(LOG_POLL, this::readLog);
      return;
    }
    submit(run, event);
    schedule(LOG_RETRY, this::readLog);
  }

  private void readVmList() {
    submit(new Event.VmListRead(fleet.vmList().read(id)));
    schedule(VM_LIST_INTERVAL, this::readVmList);
  }

  private void pollNewRunners() {
    for (RunnerId runner : core.configuration().runners().keySet()) {
      if (polled.add(runner)) {
        schedule(random.nextDuration(0, 20), () -> poll(runner));
      }
    }
  }

  private void poll(RunnerId runner) {
    report(runner);
    schedule(REPORT_INTERVAL, () -> poll(runner));
  }

  private void report(RunnerId name) {
    FakeRunner runner = fleet.runner(name).orElse(null);
    int run = incarnationNumber;
    if (runner == null) {
      return;
    }
    Optional<Event> answer =
        fleet.network().reaches(id, name)
            ? runner.report().map(Event.EngineReported::new)
            : Optional.empty();
    if (answer.isPresent()) {
      world.after(runner.reportDelay(), () -> submit(run, answer.get()));
    } else {
      world.after(
          random.nextDuration(1, 400), () -> submit(run, new Event.EngineUnreachable(name)));
    }
  }

  // Accessors

  NodeId id() {
    return id;
  }

  int number() {
    return number;
  }

  boolean isAlive() {
    return alive;
  }

  NodeCore core() {
    return core;
  }

  Incarnation incarnation() {
    return Incarnation.of(incarnationNumber);
  }

  // Helpers

  /** Returns a short form of frequent events, whose contents other lines already show. */
  private static String summary(Event event) {
    return switch (event) {
      case Event.TimerFired timer -> "timer";
      case Event.EngineReported reported ->
          "report " + reported.report().runner() + " " + reported.report().memoryUsedBytes();
      case Event.LogRead read -> "log " + read.nextOffset() + " from " + read.firstOffset();
      case Event.VmListRead read -> "list " + read.nodes().size();
      case Event.RequestArrived arrived -> "arrived " + arrived.request().id();
      default -> event.toString();
    };
  }

  private static String summary(Effect effect) {
    return switch (effect) {
      case Effect.Dispatch dispatch -> "dispatch " + dispatch.attempt();
      case Effect.Append append -> "append " + append.record();
      default -> effect.toString();
    };
  }

  private void schedule(Duration delay, Runnable action) {
    int run = incarnationNumber;
    world.after(delay, () -> runUnlessPaused(run, action));
  }

  private void runUnlessPaused(int run, Runnable action) {
    if (run != incarnationNumber || !alive) {
      return;
    }
    if (world.now().isBefore(pausedUntil)) {
      deferredTasks.add(() -> runUnlessPaused(run, action));
    } else {
      action.run();
    }
  }
}
