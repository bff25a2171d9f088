package dev.wisteriarail.gateway;

import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.gateway.GatewayCore;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.gateway.GatewayStepException;
import dev.wisteriarail.runtime.EventLog;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Event loop of a gateway's core: a single thread passes events to the core and performs the
 * resulting effects, none of which blocks.
 *
 * <p>Life cycle: {@link #start}, then events through {@link #submit}, then {@link #close}.
 * Thread-safe.
 */
final class GatewayRuntime implements AutoCloseable {

  /** Number of ticks between two checks for disconnected callers. */
  private static final int TICKS_PER_DISCONNECT_CHECK = 2;

  /**
   * Threshold above which a suspension or a clock step is assumed: for the time between two ticks,
   * and for the difference between the two clocks' progress in that time.
   */
  private static final Duration CLOCK_JUMP = Duration.ofMillis(400);

  private final GatewayCore core;
  private final CallerServer callers;
  private final RunnerClient runners;
  private final PlatformClient platform;
  private final PeerMessageSender peers;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final InstantSource monotonicClock;
  private final InstantSource wallClock;
  private final BlockingQueue<GatewayEvent> events;
  private final CountDownLatch drained = new CountDownLatch(1);
  private final CompletableFuture<Void> failure = new CompletableFuture<>();
  private volatile boolean running = true;
  private volatile boolean failed;
  private Instant lastMonotonicTime;
  private Instant lastWallTime;
  private int ticks;

  GatewayRuntime(
      GatewayCore core,
      CallerServer callers,
      RunnerClient runners,
      PlatformClient platform,
      PeerMessageSender peers,
      EventLog log,
      GatewayMetrics metrics,
      InstantSource monotonicClock,
      InstantSource wallClock,
      BlockingQueue<GatewayEvent> events) {
    this.core = core;
    this.callers = callers;
    this.runners = runners;
    this.platform = platform;
    this.peers = peers;
    this.log = log;
    this.metrics = metrics;
    this.monotonicClock = monotonicClock;
    this.wallClock = wallClock;
    this.events = events;
  }

  /** Creates the event queue of a runtime. */
  static BlockingQueue<GatewayEvent> newQueue() {
    return new LinkedBlockingQueue<>();
  }

  void start() {
    lastMonotonicTime = monotonicClock.instant();
    lastWallTime = wallClock.instant();
    Thread.ofPlatform().name("core").start(this::runLoop);
  }

  /** Queues an event for the core. */
  void submit(GatewayEvent event) {
    events.add(event);
  }

  /**
   * Requests a drain and waits until the requests in flight have ended.
   *
   * @return whether they ended within the limit
   */
  boolean drain(Duration limit) throws InterruptedException {
    submit(new GatewayEvent.DrainRequested());
    return drained.await(limit.toMillis(), TimeUnit.MILLISECONDS) && !failed;
  }

  /** Returns a future that completes if an error ends the core. */
  CompletableFuture<Void> failure() {
    return failure;
  }

  @Override
  public void close() {
    running = false;
    events.add(new GatewayEvent.Tick(false));
  }

  /**
   * Runs until the runtime is closed. If an error ends the core before that, such as a lack of
   * memory, the node can decide nothing any more: it stops being ready and ends its requests.
   */
  private void runLoop() {
    try {
      handleEvents();
    } finally {
      if (running) {
        failed = true;
        callers.setReady(false);
        callers.closeAfterAnswers();
        drained.countDown();
        failure.complete(null);
        callers.failPending();
      }
    }
  }

  private void handleEvents() {
    Instant nextTick = monotonicClock.instant();
    List<GatewayEvent> batch = new ArrayList<>();
    while (running) {
      try {
        long wait = Duration.between(monotonicClock.instant(), nextTick).toNanos();
        GatewayEvent first = wait > 0 ? events.poll(wait, TimeUnit.NANOSECONDS) : null;
        if (first != null) {
          batch.add(first);
        }
        events.drainTo(batch);
        for (GatewayEvent event : batch) {
          step(event);
        }
        batch.clear();
        if (!monotonicClock.instant().isBefore(nextTick)) {
          nextTick = monotonicClock.instant().plus(core.tickInterval());
          step(new GatewayEvent.Tick(clocksJumped()));
          metrics.updateTenants(core.tenantCounts(monotonicClock.instant()));
          if (++ticks % TICKS_PER_DISCONNECT_CHECK == 0) {
            reportDisconnected();
          }
        }
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void reportDisconnected() {
    try {
      callers.reportDisconnected();
    } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError fault) {
      log.writeFault(fault);
    }
  }

  private boolean clocksJumped() {
    Instant monotonicTime = monotonicClock.instant();
    Instant wallTime = wallClock.instant();
    Duration difference =
        Duration.between(lastWallTime, wallTime)
            .minus(Duration.between(lastMonotonicTime, monotonicTime));
    boolean late = Duration.between(lastMonotonicTime, monotonicTime).compareTo(CLOCK_JUMP) > 0;
    lastMonotonicTime = monotonicTime;
    lastWallTime = wallTime;
    return late || difference.abs().compareTo(CLOCK_JUMP) > 0;
  }

  /**
   * Handles one event. An exception in the core or in one effect is logged and does not affect the
   * other effects or later events; the core and the callers get a result in any case.
   */
  private void step(GatewayEvent event) {
    FaultRecovery.Action recovery = new FaultRecovery.Action.None();
    List<GatewayEffect> effects;
    try {
      effects = core.handle(event, monotonicClock.instant());
    } catch (GatewayStepException fault) {
      log.writeFault(fault.getCause());
      effects = fault.effects();
      recovery = FaultRecovery.afterEvent(event, effects);
    }
    for (GatewayEffect effect : effects) {
      performOrRecover(effect);
    }
    recover(recovery, this::submit);
    if (event instanceof GatewayEvent.CallerDisconnected left) {
      runners.remove(left.exchange());
    }
  }

  private void performOrRecover(GatewayEffect effect) {
    SingleResult result = SingleResult.to(this::submit);
    try {
      perform(effect, result);
    } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError fault) {
      log.writeFault(fault);
      String reason = fault.toString();
      recover(
          FaultRecovery.afterEffect(effect, reason, send -> runners.abandon(send, reason)),
          result::submit);
    }
  }

  private void recover(FaultRecovery.Action action, Consumer<GatewayEvent> events) {
    try {
      switch (action) {
        case FaultRecovery.Action.Report report -> events.accept(report.event());
        case FaultRecovery.Action.EndResponse end -> {
          callers.exchange(end.exchange()).ifPresent(CallerExchange::abortAfterFault);
          runners.remove(end.exchange());
        }
        case FaultRecovery.Action.FailRequest fail -> {
          events.accept(new GatewayEvent.CallerDisconnected(fail.exchange()));
          performOrRecover(
              new GatewayEffect.Refuse(fail.exchange(), fail.code(), Optional.empty()));
        }
        case FaultRecovery.Action.None none -> {}
      }
    } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError fault) {
      log.writeFault(fault);
    }
  }

  private void perform(GatewayEffect effect, SingleResult result) {
    switch (effect) {
      case GatewayEffect.Refuse refuse -> {
        callers.refuse(refuse.exchange(), refuse.code(), refuse.retryAfter());
        runners.remove(refuse.exchange());
      }
      case GatewayEffect.RelayAnswer relay -> {
        if (!runners.relayAnswer(relay.exchange(), relay.attempt())) {
          callers.exchange(relay.exchange()).ifPresent(CallerExchange::abort);
        }
        runners.remove(relay.exchange());
      }
      case GatewayEffect.AbortAnswer abort -> {
        callers.exchange(abort.exchange()).ifPresent(CallerExchange::abort);
        runners.remove(abort.exchange());
      }
      case GatewayEffect.SendAttempt send -> send(send);
      case GatewayEffect.CancelAttempt cancel ->
          runners.cancel(cancel.exchange(), cancel.attempt());
      case GatewayEffect.SendOrder order ->
          platform.sendOrder(
              order,
              notification -> submit(new GatewayEvent.RunnerNotified(order.runner(), notification)),
              (outcome, detail) ->
                  result.submit(
                      new GatewayEvent.OrderCompleted(
                          order.runner().id(), order.order().number(), outcome, detail)));
      case GatewayEffect.RequestReport request -> {
        Instant requestedAt = monotonicClock.instant();
        platform.requestReport(
            request.runner(),
            notification -> submit(new GatewayEvent.RunnerNotified(request.runner(), notification)),
            report ->
                report.ifPresent(
                    read -> submit(new GatewayEvent.ReportReceived(read, requestedAt))));
      }
      case GatewayEffect.ReadStore read ->
          platform.readStore(
              read.call(),
              answer -> result.submit(new GatewayEvent.StoreReadCompleted(read.call(), answer)));
      case GatewayEffect.CallLease lease ->
          platform.callLease(
              lease.call(), answer -> result.submit(new GatewayEvent.LeaseCallCompleted(answer)));
      case GatewayEffect.RegisterNode register ->
          platform.registerNode(
              register.address(),
              succeeded -> result.submit(new GatewayEvent.RegistrationCompleted(succeeded)));
      case GatewayEffect.SaveRefusal save ->
          platform.saveRefusal(
              save.refusal(), succeeded -> result.submit(new GatewayEvent.RefusalSaved(succeeded)));
      case GatewayEffect.SendPeer send -> peers.send(send.to(), send.message());
      case GatewayEffect.WarmUpCodec warmUp -> peers.warmUpCodec(warmUp.message());
      case GatewayEffect.LogEvent logEvent -> {
        log.write(logEvent.event());
        metrics.count(logEvent.event());
      }
      case GatewayEffect.QueueMeasured measured -> metrics.setQueue(measured);
      case GatewayEffect.SetReady ready -> {
        callers.setReady(ready.ready());
        if (!ready.ready()) {
          callers.closeAfterAnswers();
        }
      }
      case GatewayEffect.ApplyBounds apply -> {
        callers.setBounds(apply.bounds());
        runners.setBounds(apply.bounds());
      }
      case GatewayEffect.CloseIdleCallers close -> callers.closeIdle();
      case GatewayEffect.DrainCompleted completed -> drained.countDown();
    }
  }

  private void send(GatewayEffect.SendAttempt send) {
    callers
        .exchange(send.exchange())
        .ifPresentOrElse(
            exchange ->
                runners.send(
                    exchange,
                    send,
                    notification ->
                        submit(new GatewayEvent.RunnerNotified(send.runner(), notification)),
                    (attempt, result) -> {
                      submit(new GatewayEvent.AttemptUpdated(send.exchange(), attempt, result));
                      if (result instanceof AttemptResult.Finished) {
                        runners.remove(send.exchange());
                      }
                    }),
            () -> submit(new GatewayEvent.CallerDisconnected(send.exchange())));
  }
}
