package dev.wisteriarail.gateway;

import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.gateway.GatewayCore;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.runtime.EventLog;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Runs a gateway's core: one thread feeds it events and starts its effects; none of them blocks.
 *
 * <p>Life cycle: {@link #start}, then events through {@link #submit}, then {@link #close}.
 * Thread-safe.
 */
final class GatewayRuntime implements AutoCloseable {

  /** Ticks between two looks for callers that left. */
  private static final int TICKS_BETWEEN_LOOKS = 2;

  /** Difference of the two clocks between two ticks that shows a suspension or a clock step. */
  private static final Duration CLOCK_JUMP = Duration.ofMillis(400);

  private final GatewayCore core;
  private final CallerFront callers;
  private final RunnerClient runners;
  private final PlatformClient platform;
  private final PeerLinks peers;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final InstantSource steady;
  private final InstantSource timeOfDay;
  private final BlockingQueue<GatewayEvent> events;
  private final CountDownLatch drained = new CountDownLatch(1);
  private volatile boolean open = true;
  private Instant lastSteady;
  private Instant lastTimeOfDay;
  private int ticks;

  GatewayRuntime(
      GatewayCore core,
      CallerFront callers,
      RunnerClient runners,
      PlatformClient platform,
      PeerLinks peers,
      EventLog log,
      GatewayMetrics metrics,
      InstantSource steady,
      InstantSource timeOfDay,
      BlockingQueue<GatewayEvent> events) {
    this.core = core;
    this.callers = callers;
    this.runners = runners;
    this.platform = platform;
    this.peers = peers;
    this.log = log;
    this.metrics = metrics;
    this.steady = steady;
    this.timeOfDay = timeOfDay;
    this.events = events;
  }

  /** Returns the queue that a runtime takes its events from. */
  static BlockingQueue<GatewayEvent> newQueue() {
    return new LinkedBlockingQueue<>();
  }

  void start() {
    lastSteady = steady.instant();
    lastTimeOfDay = timeOfDay.instant();
    Thread.ofPlatform().name("core").start(this::runLoop);
  }

  /** Queues an event for the core. */
  void submit(GatewayEvent event) {
    events.add(event);
  }

  /** Stops taking callers and waits until the requests in flight have ended. */
  boolean drain(Duration limit) throws InterruptedException {
    submit(new GatewayEvent.DrainRequested());
    return drained.await(limit.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    open = false;
    events.add(new GatewayEvent.Tick(false));
  }

  private void runLoop() {
    Instant nextTick = steady.instant();
    List<GatewayEvent> batch = new ArrayList<>();
    while (open) {
      try {
        long wait = Duration.between(steady.instant(), nextTick).toNanos();
        GatewayEvent first = wait > 0 ? events.poll(wait, TimeUnit.NANOSECONDS) : null;
        if (first != null) {
          batch.add(first);
        }
        events.drainTo(batch);
        for (GatewayEvent event : batch) {
          step(event);
        }
        batch.clear();
        if (!steady.instant().isBefore(nextTick)) {
          nextTick = steady.instant().plus(core.tickInterval());
          step(new GatewayEvent.Tick(clocksJumped()));
          if (++ticks % TICKS_BETWEEN_LOOKS == 0) {
            callers.reportAbandoned();
          }
        }
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private boolean clocksJumped() {
    Instant nowSteady = steady.instant();
    Instant nowTimeOfDay = timeOfDay.instant();
    Duration difference =
        Duration.between(lastTimeOfDay, nowTimeOfDay)
            .minus(Duration.between(lastSteady, nowSteady));
    boolean late = Duration.between(lastSteady, nowSteady).compareTo(CLOCK_JUMP) > 0;
    lastSteady = nowSteady;
    lastTimeOfDay = nowTimeOfDay;
    return late || difference.abs().compareTo(CLOCK_JUMP) > 0;
  }

  /** Handles one event; a fault in it or in one of its effects stops none of the others. */
  private void step(GatewayEvent event) {
    List<GatewayEffect> effects;
    try {
      effects = core.handle(event, steady.instant());
    } catch (RuntimeException fault) {
      log.writeFault(fault);
      if (event instanceof GatewayEvent.RequestArrived arrived) {
        callers.refuse(arrived.request().exchange(), ResultCode.INTERNAL, Optional.empty());
      }
      return;
    }
    for (GatewayEffect effect : effects) {
      try {
        perform(effect);
      } catch (RuntimeException fault) {
        log.writeFault(fault);
      }
    }
  }

  private void perform(GatewayEffect effect) {
    switch (effect) {
      case GatewayEffect.Refuse refuse -> {
        callers.refuse(refuse.exchange(), refuse.code(), refuse.retryAfter());
        runners.forget(refuse.exchange());
      }
      case GatewayEffect.RelayAnswer pass -> {
        if (!runners.passAnswer(pass.exchange())) {
          callers.exchange(pass.exchange()).ifPresent(CallerExchange::cut);
        }
        runners.forget(pass.exchange());
      }
      case GatewayEffect.AbortAnswer cut -> {
        callers.exchange(cut.exchange()).ifPresent(CallerExchange::cut);
        runners.forget(cut.exchange());
      }
      case GatewayEffect.SendAttempt send -> send(send);
      case GatewayEffect.CancelAttempt cancel -> runners.cancel(cancel.exchange());
      case GatewayEffect.SendOrder order ->
          platform.order(
              order,
              word -> submit(new GatewayEvent.RunnerNotified(order.runner(), word)),
              (outcome, detail) ->
                  submit(
                      new GatewayEvent.OrderCompleted(
                          order.runner().id(), order.order().number(), outcome, detail)));
      case GatewayEffect.RequestReport ask -> {
        Instant askedAt = steady.instant();
        platform.report(
            ask.runner(),
            word -> submit(new GatewayEvent.RunnerNotified(ask.runner(), word)),
            report ->
                report.ifPresent(read -> submit(new GatewayEvent.ReportReceived(read, askedAt))));
      }
      case GatewayEffect.ReadStore read ->
          platform.read(
              read.call(),
              answer -> submit(new GatewayEvent.StoreReadCompleted(read.call(), answer)));
      case GatewayEffect.CallLease lease ->
          platform.lease(
              lease.call(), answer -> submit(new GatewayEvent.LeaseCallCompleted(answer)));
      case GatewayEffect.RegisterNode register ->
          platform.register(
              register.address(), done -> submit(new GatewayEvent.RegistrationCompleted(done)));
      case GatewayEffect.SendPeer send -> peers.send(send.to(), send.message());
      case GatewayEffect.WarmUpCodec rehearse -> peers.rehearse(rehearse.message());
      case GatewayEffect.LogEvent emit -> {
        log.write(emit.event());
        metrics.count(emit.event());
      }
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
                    word -> submit(new GatewayEvent.RunnerNotified(send.runner(), word)),
                    (attempt, result) -> {
                      if (result instanceof AttemptResult.Finished) {
                        runners.forget(send.exchange());
                      }
                      submit(new GatewayEvent.AttemptUpdated(send.exchange(), attempt, result));
                    }),
            () -> submit(new GatewayEvent.CallerDisconnected(send.exchange())));
  }
}
