package dev.wisteriarail.runtime;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeCore;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.NodeStatus;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.request.AttemptOutcome;
import dev.wisteriarail.core.result.PlatformException;
import dev.wisteriarail.spi.AttemptListener;
import dev.wisteriarail.spi.LogBatch;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs a core: one thread passes events to the core and starts the resulting effects; virtual
 * threads perform the blocking ones.
 *
 * <p>Life cycle: {@link #start}, then events through {@link #submit}, then {@link #close}.
 * Thread-safe.
 */
public final class NodeRuntime implements AutoCloseable {

  /** Last part of a graceful stop, in which the node ends the remaining requests itself. */
  private static final Duration FORCED_END_TIME = Duration.ofMillis(500);

  private static final Duration LOG_READ_WAIT = Duration.ofMillis(500);
  private static final Duration LOG_RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);
  private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(1);
  private static final long MAX_WAIT_NANOS = Duration.ofSeconds(1).toNanos();

  private final NodeSettings settings;
  private final NodeCore core;
  private final NodeAdapters adapters;
  private final InstantSource clock;
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
  private final CountDownLatch drained = new CountDownLatch(1);
  private final Map<NodeId, VmEntry> addresses = new ConcurrentHashMap<>();
  private final Set<RunnerId> polledRunners = ConcurrentHashMap.newKeySet();
  private final StatusProvider statusProvider = new StatusProvider();
  private final AtomicBoolean running = new AtomicBoolean(true);
  private volatile Configuration configuration = Configuration.EMPTY;
  private volatile boolean ready;
  private volatile boolean controller;

  private NodeRuntime(
      NodeSettings settings, NodeCore core, NodeAdapters adapters, InstantSource clock) {
    this.settings = settings;
    this.core = core;
    this.adapters = adapters;
    this.clock = clock;
  }

  /** Returns a runtime that has not been started. */
  public static NodeRuntime create(
      NodeSettings settings, NodeCore core, NodeAdapters adapters, InstantSource clock) {
    return new NodeRuntime(settings, core, adapters, clock);
  }

  // Life cycle

  /** Starts the event loop and the readers of the log and the VM list. */
  public void start() {
    adapters.events().write(NodeEvent.of(EventCode.NODE_STARTED, "node", settings.node()));
    Thread.ofPlatform().name("core-" + settings.node()).start(this::runLoop);
    workers.execute(this::readLog);
    workers.execute(this::readVmList);
  }

  /**
   * Stops accepting requests and waits until those in flight have ended. Ends the remaining ones
   * shortly before the limit.
   *
   * @return whether all requests ended without being forced to
   */
  public boolean drain(Duration limit) throws InterruptedException {
    submit(new Event.DrainRequested());
    Duration gracefulTime = limit.minus(FORCED_END_TIME);
    if (drained.await(Math.max(0, gracefulTime.toMillis()), TimeUnit.MILLISECONDS)) {
      return true;
    }
    submit(new Event.DrainExpired());
    drained.await(FORCED_END_TIME.toMillis(), TimeUnit.MILLISECONDS);
    return false;
  }

  @Override
  public void close() {
    if (running.compareAndSet(true, false)) {
      events.add(new Event.TimerFired());
      workers.shutdownNow();
      adapters.peers().close();
      adapters.events().close();
    }
  }

  // Events

  /** Queues an event for the core. */
  public void submit(Event event) {
    events.add(event);
  }

  private void runLoop() {
    while (running.get()) {
      try {
        Event event = events.poll(nanosUntilWakeUp(), TimeUnit.NANOSECONDS);
        step(event == null ? new Event.TimerFired() : event);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError fault) {
        adapters.events().writeFault(fault);
      }
    }
  }

  private void step(Event event) {
    List<Effect> effects = core.handle(event, clock.instant());
    try {
      publishState();
    } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError fault) {
      adapters.events().writeFault(fault);
    }
    for (Effect effect : effects) {
      guard(effect, () -> perform(effect));
    }
  }

  /** Performs a part of an effect; if it throws an exception, the core gets a failure instead. */
  private void guard(Effect effect, Runnable part) {
    try {
      part.run();
    } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError fault) {
      adapters.events().writeFault(fault);
      resultOf(effect, fault.toString()).ifPresent(this::submit);
    }
  }

  /** Returns the result of an effect that failed in an unexpected way, if the core awaits one. */
  private static Optional<Event> resultOf(Effect effect, String fault) {
    return switch (effect) {
      case Effect.Dispatch dispatch ->
          Optional.of(
              new Event.AttemptEnded(dispatch.attempt(), new AttemptOutcome.Broken(fault, false)));
      case Effect.OrderEngine order ->
          Optional.of(
              new Event.OrderAnswered(
                  order.order(), order.runner(), new OrderOutcome.Unknown(fault)));
      case Effect.Append append ->
          Optional.of(new Event.AppendAnswered(append.record(), new AppendOutcome.Unknown(fault)));
      case Effect.RequestReport request ->
          Optional.of(new Event.EngineUnreachable(request.runner()));
      case Effect.AnswerChunk chunk -> Optional.of(new Event.CallerLeft(chunk.request()));
      case Effect.EndRequest end -> Optional.empty();
      case Effect.CancelAttempt cancel -> Optional.empty();
      case Effect.SendPeer send -> Optional.empty();
      case Effect.Emit emit -> Optional.empty();
      case Effect.DrainCompleted completed -> Optional.empty();
    };
  }

  private void publishState() {
    statusProvider.completePending(() -> core.status(clock.instant()));
    configuration = core.configuration();
    controller = core.isController();
    if (core.isReady() && !ready) {
      adapters.events().write(NodeEvent.of(EventCode.NODE_READY, "node", settings.node()));
    }
    ready = core.isReady();
    for (RunnerId runner : configuration.runners().keySet()) {
      if (polledRunners.add(runner)) {
        execute(() -> pollRunner(runner));
      }
    }
  }

  private long nanosUntilWakeUp() {
    return core.nextWakeUp()
        .map(wakeUp -> Duration.between(clock.instant(), wakeUp).toNanos())
        .map(nanos -> Math.clamp(nanos, 0, MAX_WAIT_NANOS))
        .orElse(MAX_WAIT_NANOS);
  }

  // Effects

  private void perform(Effect effect) {
    switch (effect) {
      case Effect.AnswerChunk chunk -> adapters.callers().sendChunk(chunk);
      case Effect.EndRequest end -> adapters.callers().end(end);
      case Effect.Dispatch dispatch -> execute(() -> guard(effect, () -> dispatch(dispatch)));
      case Effect.CancelAttempt cancel ->
          execute(
              () ->
                  guard(
                      effect, () -> adapters.engines().cancel(cancel.attempt(), cancel.runner())));
      case Effect.OrderEngine order -> execute(() -> guard(effect, () -> sendOrder(order)));
      case Effect.RequestReport request ->
          execute(() -> guard(effect, () -> requestReport(request.runner())));
      case Effect.Append append -> execute(() -> guard(effect, () -> appendRecord(append)));
      case Effect.SendPeer send -> {
        VmEntry peer = addresses.get(send.to());
        if (peer != null) {
          adapters.peers().send(peer, send.message());
        }
      }
      case Effect.Emit emit -> adapters.events().write(emit.event());
      case Effect.DrainCompleted completed -> drained.countDown();
    }
  }

  private void execute(Runnable task) {
    try {
      workers.execute(task);
    } catch (RejectedExecutionException closed) {
      // The runtime was closed after the core returned this effect.
    }
  }

  private void dispatch(Effect.Dispatch dispatch) {
    adapters
        .engines()
        .dispatch(
            dispatch,
            new AttemptListener() {
              @Override
              public void progressed(long position, String text) {
                submit(new Event.AttemptProgressed(dispatch.attempt(), position, text));
              }

              @Override
              public void ended(AttemptOutcome outcome) {
                submit(new Event.AttemptEnded(dispatch.attempt(), outcome));
              }
            });
  }

  private void sendOrder(Effect.OrderEngine order) {
    OrderOutcome outcome = adapters.engines().sendOrder(order);
    submit(new Event.OrderAnswered(order.order(), order.runner(), outcome));
  }

  private void appendRecord(Effect.Append append) {
    AppendOutcome outcome =
        adapters.log().append(append.record(), settings.node().value(), append.body());
    submit(new Event.AppendAnswered(append.record(), outcome));
  }

  private void requestReport(RunnerId runner) {
    try {
      submit(new Event.EngineReported(adapters.engines().requestReport(runner)));
    } catch (PlatformException failure) {
      submit(new Event.EngineUnreachable(runner));
    } catch (RuntimeException fault) {
      adapters.events().writeFault(fault);
      submit(new Event.EngineUnreachable(runner));
    }
  }

  // Polling of the platform and the runners

  private void readLog() {
    long offset = 0;
    while (running.get()) {
      try {
        LogBatch batch = adapters.log().read(offset, LOG_READ_WAIT);
        offset = batch.nextOffset();
        submit(new Event.LogRead(batch.records(), batch.nextOffset(), batch.firstOffset()));
      } catch (PlatformException failure) {
        submit(new Event.LogReadFailed(failure.describe()));
        sleep(LOG_RETRY_DELAY);
      } catch (RuntimeException fault) {
        adapters.events().writeFault(fault);
        submit(new Event.LogReadFailed(fault.toString()));
        sleep(LOG_RETRY_DELAY);
      }
    }
  }

  private void readVmList() {
    while (running.get()) {
      try {
        List<VmEntry> nodes = adapters.vmList().read();
        nodes.forEach(entry -> addresses.put(entry.node(), entry));
        submit(new Event.VmListRead(nodes));
      } catch (PlatformException failure) {
        // The VM list lags anyway, so the previous reading stays in use until the next one
        // succeeds.
      } catch (RuntimeException fault) {
        adapters.events().writeFault(fault);
      }
      sleep(VM_LIST_INTERVAL);
    }
  }

  private void pollRunner(RunnerId runner) {
    while (running.get() && configuration.runners().containsKey(runner)) {
      requestReport(runner);
      sleep(REPORT_INTERVAL);
    }
    polledRunners.remove(runner);
  }

  private void sleep(Duration duration) {
    try {
      Thread.sleep(duration);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  // Accessors

  /** Returns the configuration in force. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns whether the load balancer may send callers to this node. */
  public boolean isReady() {
    return ready;
  }

  /** Returns whether the node controls its cell. */
  public boolean isController() {
    return controller;
  }

  /** Returns the node's status and its view of the fleet; empty if the core does not answer. */
  public Optional<NodeStatus> status() throws InterruptedException {
    return statusProvider.request(() -> submit(new Event.TimerFired()));
  }

  /** Returns the node's settings. */
  public NodeSettings settings() {
    return settings;
  }
}
