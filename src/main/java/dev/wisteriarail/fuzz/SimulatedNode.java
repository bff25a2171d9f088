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
 * One address at which runs of a node follow each other, with the readers and timers that the
 * runtime keeps around a core.
 *
 * <p>A task of a run that has ended does nothing. A task of a paused run waits until it goes on, so
 * an effect formed before a pause may be carried out after it.
 */
final class SimulatedNode {

  private static final CellId CELL = CellId.of("main");
  private static final Duration LOG_POLL = Duration.ofMillis(20);
  private static final Duration LOG_WAIT = Duration.ofMillis(500);
  private static final Duration LOG_RETRY = Duration.ofMillis(200);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);
  private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MAX_WAIT = Duration.ofSeconds(1);

  private static final Duration SHORTEST_WAIT = Duration.ofNanos(1_000);

  /** Least wait of a core that keeps itself busy, so that its run comes to an end. */
  private static final Duration THROTTLED_WAIT = Duration.ofMillis(20);

  private static final Duration COUNTED = Duration.ofSeconds(1);

  /** Events of one node in a second that no load of a run explains. */
  private static final int MOST_STEPS = 4_000;

  private final World world;
  private final Fleet fleet;
  private final Chance chance;
  private final NodeId id;
  private final int number;
  private NodeCore core;
  private final PlacementPolicy policy;
  private Duration clockOffset = Duration.ZERO;
  private int life;
  private boolean alive;
  private Instant pausedUntil = Instant.MIN;
  private final List<Runnable> whilePaused = new ArrayList<>();
  private Instant lastAnswer = Instant.MIN;
  private long readOffset;
  private Instant lastLogEvent = Instant.MIN;
  private Set<RunnerId> polled = new TreeSet<>();
  private long timer;
  private Instant countedFrom = Instant.EPOCH;
  private int steps;

  SimulatedNode(World world, Fleet fleet, int number, PlacementPolicy policy) {
    this.world = world;
    this.fleet = fleet;
    this.number = number;
    this.policy = policy;
    id = NodeId.of("n" + number);
    chance = world.chance("node-" + number);
  }

  // Life cycle

  /** Starts a run that knows nothing. */
  void start() {
    if (alive) {
      return;
    }
    life++;
    alive = true;
    pausedUntil = Instant.MIN;
    whilePaused.clear();
    lastAnswer = Instant.MIN;
    lastLogEvent = Instant.MIN;
    readOffset = 0;
    polled = new TreeSet<>();
    clockOffset = chance.millis(0, 100_000);
    core =
        NodeCore.create(
            new NodeSettings(
                id,
                incarnation(),
                Deployment.failureDomain(number),
                CELL,
                chance.below(Integer.MAX_VALUE),
                FuzzTimings.timings()),
            policy.planner());
    world.note(id + " starts as " + life);
    world.observe(new Observation.NodeStarted(id));
    schedule(Duration.ZERO, this::readLog);
    schedule(chance.millis(0, 50), this::readVmList);
  }

  /** Ends the run at once. */
  void kill() {
    if (alive) {
      alive = false;
      world.note(id + " is killed");
      world.observe(new Observation.NodeStopped(id));
      fleet.callers().cutOff(id);
    }
  }

  /** Stops the run until a time. */
  void pause(Instant until) {
    if (alive && until.isAfter(pausedUntil)) {
      pausedUntil = until;
      world.note(id + " is paused until " + until);
      world.observe(new Observation.NodePaused(id, until));
      world.at(until, this::wake);
    }
  }

  /** Lets a paused run go on. */
  void resume() {
    if (world.now().isBefore(pausedUntil)) {
      pausedUntil = world.now();
      world.observe(new Observation.NodePaused(id, pausedUntil));
      wake();
    }
  }

  /** Starts what waited for the end of a pause, in order. */
  private void wake() {
    if (world.now().isBefore(pausedUntil)) {
      return;
    }
    List<Runnable> waiting = List.copyOf(whilePaused);
    whilePaused.clear();
    waiting.forEach(Runnable::run);
  }

  // Events

  /** Gives an event to the run that lives now. */
  void submit(Event event) {
    submit(life, event);
  }

  /** Gives an event to one run, if it still lives. */
  void submit(int run, Event event) {
    runWhenAwake(run, () -> step(event));
  }

  private void step(Event event) {
    Instant formed = world.now();
    countStep(event);
    world.trace(id + " <- " + summary(event));
    List<Effect> effects;
    try {
      effects = core.handle(fleet.defect().alter(id, event), formed.plus(clockOffset));
    } catch (RuntimeException fault) {
      world.note(id + " fault " + fault + " at " + ownFrames(fault));
      world.observe(new Observation.CoreFault(id, fault + " at " + ownFrames(fault)));
      return;
    }
    for (Effect effect : effects) {
      for (Effect changed : fleet.defect().alter(id, effect)) {
        carry(changed, formed);
      }
    }
    pollNewRunners();
    armTimer();
  }

  /** Reports a core that keeps itself busy: it would take a whole processor in a deployment. */
  private void countStep(Event event) {
    if (!world.now().isBefore(countedFrom.plus(COUNTED))) {
      countedFrom = world.now();
      steps = 0;
    }
    steps++;
    if (steps == MOST_STEPS) {
      world.observe(
          new Observation.CoreFault(id, "busy loop in " + COUNTED + ", last " + summary(event)));
    }
  }

  private static List<String> ownFrames(RuntimeException fault) {
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
    Duration least = steps < MOST_STEPS ? SHORTEST_WAIT : THROTTLED_WAIT;
    schedule(
        wait.compareTo(least) < 0 ? least : wait,
        () -> {
          if (armed == timer) {
            step(new Event.TimerFired());
          }
        });
  }

  // Effects

  private void carry(Effect effect, Instant formed) {
    if (effect instanceof Effect.Emit emit) {
      world.trace(id + " logs " + emit.event());
      return;
    }
    Duration delay = chance.millis(0.01, 0.5);
    boolean toCaller =
        effect instanceof Effect.AnswerChunk
            || effect instanceof Effect.EndRequest
            || effect instanceof Effect.DrainCompleted;
    Instant time = world.now().plus(delay);
    if (toCaller) {
      time = time.isAfter(lastAnswer) ? time : lastAnswer;
      lastAnswer = time;
    }
    int run = life;
    world.at(time, () -> runWhenAwake(run, () -> perform(effect, formed)));
  }

  private void perform(Effect effect, Instant formed) {
    world.trace(id + " -> " + summary(effect));
    int run = life;
    switch (effect) {
      case Effect.AnswerChunk chunk -> fleet.callers().answer(id, chunk);
      case Effect.EndRequest end -> fleet.callers().end(id, end);
      case Effect.Dispatch dispatch -> {
        world.note(id + " dispatches " + dispatch.request().id() + " to " + dispatch.runner());
        fleet
            .runner(dispatch.runner())
            .ifPresent(
                runner ->
                    runner.dispatch(
                        dispatch,
                        formed,
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
                      world.after(chance.millis(0.5, 2), () -> runner.cancel(cancel.attempt())));
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
        world.note(id + " has drained");
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
    int run = life;
    if (event instanceof Event.LogRead read) {
      readOffset = read.nextOffset();
      boolean quiet = world.now().isBefore(lastLogEvent.plus(LOG_WAIT));
      if (!read.records().isEmpty() || !quiet) {
        lastLogEvent = world.now();
        world.after(chance.millis(0.5, 3), () -> submit(run, event));
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
        schedule(chance.millis(0, 20), () -> poll(runner));
      }
    }
  }

  private void poll(RunnerId runner) {
    report(runner);
    schedule(REPORT_INTERVAL, () -> poll(runner));
  }

  private void report(RunnerId name) {
    FakeRunner runner = fleet.runner(name).orElse(null);
    int run = life;
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
      world.after(chance.millis(1, 400), () -> submit(run, new Event.EngineUnreachable(name)));
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
    return Incarnation.of(life);
  }

  // Helpers

  /** Returns a short form of the frequent events, which carry what other lines hold already. */
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
    int run = life;
    world.after(delay, () -> runWhenAwake(run, action));
  }

  private void runWhenAwake(int run, Runnable action) {
    if (run != life || !alive) {
      return;
    }
    if (world.now().isBefore(pausedUntil)) {
      whilePaused.add(() -> runWhenAwake(run, action));
    } else {
      action.run();
    }
  }
}
