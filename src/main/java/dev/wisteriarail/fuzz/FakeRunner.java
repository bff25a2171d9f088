package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.request.AttemptOutcome;
import dev.wisteriarail.fuzz.oracle.Observation;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** A fake backend server: a model engine, or an application server of services. */
final class FakeRunner {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(5);

  /** Maximum time that an order takes to arrive after its sender stopped waiting. */
  private static final double LATE_ORDER_MILLIS = 5_000;

  /**
   * The connection of one attempt.
   *
   * @param reachable whether the node and the runner can reach each other
   * @param events receives the events for the node
   */
  record Connection(BooleanSupplier reachable, Consumer<Event> events) {}

  private static final class RunningAttempt {
    private final Effect.Dispatch dispatch;
    private final Connection connection;
    private final Content content;
    private long position;
    private boolean cut;
    private Instant lastEvent = Instant.MIN;

    private RunningAttempt(Effect.Dispatch dispatch, Connection connection, Content content) {
      this.dispatch = dispatch;
      this.connection = connection;
      this.content = content;
      position = dispatch.resumeFrom();
    }
  }

  private final World world;
  private final SeededRandom random;
  private final RunnerSpec spec;
  private final EngineMemory memory;
  private final IdempotencyKeyStore keys;
  private final Map<AttemptId, RunningAttempt> running = new TreeMap<>();
  private long incarnation = 1;
  private long lastReportNumber;
  private boolean up = true;
  private boolean leaving;
  private Duration reportLag = Duration.ZERO;

  FakeRunner(World world, RunnerSpec spec, WeightStore store, IdempotencyKeyStore keys) {
    this.world = world;
    this.spec = spec;
    this.keys = keys;
    memory = new EngineMemory(world, spec, store);
    random = world.random("runner-" + spec.id());
  }

  // Attempts

  /** Receives a request over the network, which may lose it. */
  void dispatch(Effect.Dispatch dispatch, Instant decidedAt, Connection connection) {
    if (!connection.reachable().getAsBoolean()) {
      world.after(
          CALL_TIMEOUT,
          () -> end(dispatch.attempt(), connection, new AttemptOutcome.NotHandedOver("no route")));
    } else if (world.injectsFault(random, FaultKind.DISPATCH_LOST, 0.01)) {
      world.after(
          IDLE_TIMEOUT,
          () -> end(dispatch.attempt(), connection, new AttemptOutcome.Broken("no answer", false)));
    } else {
      world.after(
          random.nextDuration(0.5, 2), () -> acceptDispatch(dispatch, decidedAt, connection));
    }
  }

  private void acceptDispatch(Effect.Dispatch dispatch, Instant decidedAt, Connection connection) {
    if (!up) {
      end(dispatch.attempt(), connection, new AttemptOutcome.NotHandedOver("refused"));
      return;
    }
    if (dispatch.replica().isPresent() && !memory.isReady(dispatch.replica().get())) {
      end(dispatch.attempt(), connection, new AttemptOutcome.Rejected("no such replica"));
      return;
    }
    RunningAttempt attempt =
        new RunningAttempt(dispatch, connection, Content.parse(dispatch.request().body()));
    running.put(dispatch.attempt(), attempt);
    boolean runs = keys.isFirst(dispatch.request());
    world.recordNotable(spec.id() + (runs ? " runs " : " remembers ") + dispatch.request().id());
    world.observe(new Observation.RunStarted(dispatch.request().id(), spec.id(), decidedAt, runs));
    if (attempt.content.poison() && world.isFaulty()) {
      world.after(random.nextDuration(5, 40), this::crashByPoison);
    }
    world.after(random.nextDuration(5, 40), () -> continueAnswer(attempt));
  }

  private void continueAnswer(RunningAttempt attempt) {
    if (running.get(attempt.dispatch.attempt()) != attempt) {
      return;
    }
    if (attempt.position < attempt.content.chunks()) {
      String text = attempt.content.chunk(attempt.position);
      sendEvent(
          attempt, new Event.AttemptProgressed(attempt.dispatch.attempt(), attempt.position, text));
      attempt.position++;
      world.after(random.nextDuration(10, 60), () -> continueAnswer(attempt));
      return;
    }
    remove(attempt);
    sendEvent(
        attempt,
        new Event.AttemptEnded(attempt.dispatch.attempt(), new AttemptOutcome.Completed(200)));
  }

  private void sendEvent(RunningAttempt attempt, Event event) {
    if (attempt.cut) {
      return;
    }
    boolean cut =
        !attempt.connection.reachable().getAsBoolean()
            || world.injectsFault(random, FaultKind.ANSWER_CUT, 0.004);
    if (cut) {
      attempt.cut = true;
      world.after(
          IDLE_TIMEOUT,
          () ->
              end(
                  attempt.dispatch.attempt(),
                  attempt.connection,
                  new AttemptOutcome.Broken("connection lost", false)));
      return;
    }
    Instant arrival = world.now().plus(random.nextDuration(0.5, 3));
    Instant inOrder = arrival.isAfter(attempt.lastEvent) ? arrival : attempt.lastEvent;
    attempt.lastEvent = inOrder;
    world.at(inOrder, () -> attempt.connection.events().accept(event));
  }

  /** Stops an attempt. */
  void cancel(AttemptId attempt) {
    RunningAttempt found = running.get(attempt);
    if (found != null) {
      remove(found);
      sendEvent(
          found, new Event.AttemptEnded(attempt, new AttemptOutcome.Broken("cancelled", false)));
    }
  }

  private void remove(RunningAttempt attempt) {
    running.remove(attempt.dispatch.attempt());
    attempt.dispatch.replica().ifPresent(replica -> memory.freeIfIdle(replica, this::active));
  }

  private void end(AttemptId attempt, Connection connection, AttemptOutcome outcome) {
    connection.events().accept(new Event.AttemptEnded(attempt, outcome));
  }

  // Orders

  /** Receives an order over the network, which may lose or delay it or its answer. */
  void order(Effect.OrderEngine order, BooleanSupplier reachable, Consumer<OrderOutcome> answer) {
    if (!reachable.getAsBoolean()) {
      world.after(CALL_TIMEOUT, () -> answer.accept(new OrderOutcome.Failed("no route")));
    } else if (world.injectsFault(random, FaultKind.ORDER_LOST, 0.01)) {
      answerUnknown(answer);
    } else if (world.injectsFault(random, FaultKind.ORDER_LATE, 0.02)) {
      answerUnknown(answer);
      world.after(
          random.nextDuration(100, LATE_ORDER_MILLIS), () -> executeOrder(order, outcome -> {}));
    } else if (world.injectsFault(random, FaultKind.ORDER_ANSWER_LOST, 0.02)) {
      answerUnknown(answer);
      world.after(random.nextDuration(0.5, 3), () -> executeOrder(order, outcome -> {}));
    } else {
      world.after(random.nextDuration(0.5, 3), () -> executeOrder(order, answer));
    }
  }

  private void answerUnknown(Consumer<OrderOutcome> answer) {
    world.after(CALL_TIMEOUT, () -> answer.accept(new OrderOutcome.Unknown("timed out")));
  }

  private void executeOrder(Effect.OrderEngine order, Consumer<OrderOutcome> answer) {
    OrderOutcome outcome =
        up
            ? memory.execute(order.fence(), order.body(), this::active)
            : new OrderOutcome.Failed("connection refused");
    world.recordNotable(
        spec.id() + " order " + order.body() + " fence " + order.fence() + " -> " + outcome);
    world.after(random.nextDuration(0.5, 2), () -> answer.accept(outcome));
  }

  // Reports

  /** Returns a report of the current state, or empty if the runner is down. */
  Optional<EngineReport> report() {
    if (!up) {
      return Optional.empty();
    }
    lastReportNumber++;
    return Optional.of(
        new EngineReport(
            spec.id(),
            Incarnation.of(incarnation),
            memory.highestFence(),
            leaving,
            running.size(),
            0,
            memory.usedBytes(),
            memory.statuses(this::active),
            numbersReports() ? lastReportNumber : 0));
  }

  /** Returns the delay until a report reaches a node. */
  Duration reportDelay() {
    Duration usual = random.nextDuration(0.5, 60);
    return reportLag.isZero() ? usual : random.nextDuration(1, (double) reportLag.toMillis());
  }

  void lagReports(Duration lag, Duration length) {
    reportLag = lag;
    world.after(length, () -> reportLag = Duration.ZERO);
  }

  // Life cycle

  /** Crashes the process; the next one starts after the given absence. */
  void crash(boolean stray, Duration absence) {
    if (!up) {
      return;
    }
    up = false;
    List<RunningAttempt> lost = new ArrayList<>(running.values());
    running.clear();
    memory.crash(stray);
    for (RunningAttempt attempt : lost) {
      sendEvent(
          attempt,
          new Event.AttemptEnded(
              attempt.dispatch.attempt(), new AttemptOutcome.Broken("connection reset", true)));
    }
    world.recordNotable(spec.id() + " crashed");
    world.after(absence, this::restart);
  }

  private void crashByPoison() {
    if (up) {
      world.countFault(FaultKind.POISON_CRASH);
      crash(false, random.nextDuration(500, 3_000));
    }
  }

  /** Announces leaving; the process ends after the notice, and the next one starts later. */
  void leave(Duration notice, Duration absence) {
    if (leaving || !up) {
      return;
    }
    leaving = true;
    long startIncarnation = incarnation;
    world.recordNotable(spec.id() + " is leaving");
    world.observe(new Observation.RunnerLeaving(spec.id()));
    world.after(
        notice,
        () -> {
          if (startIncarnation == incarnation) {
            crash(false, absence);
          }
        });
  }

  /** Starts the next process if none is running. */
  void restart() {
    if (up) {
      return;
    }
    up = true;
    incarnation++;
    lastReportNumber = 0;
    if (leaving) {
      leaving = false;
      world.observe(new Observation.RunnerBack(spec.id()));
    }
    world.recordNotable(spec.id() + " restarted as " + incarnation);
  }

  void heal() {
    restart();
    reportLag = Duration.ZERO;
  }

  // Accessors

  RunnerSpec spec() {
    return spec;
  }

  boolean isModelEngine() {
    return spec.role() == RunnerRole.MODEL;
  }

  RunnerId id() {
    return spec.id();
  }

  /** Engines that do not check fencing numbers do not number their reports. */
  private boolean numbersReports() {
    return spec.checksFencing();
  }

  private int active(ReplicaId replica) {
    return (int)
        running.values().stream()
            .filter(attempt -> attempt.dispatch.replica().equals(Optional.of(replica)))
            .count();
  }
}
