package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.fleet.RunnerRun;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.fuzz.SeededRandom;
import dev.wisteriarail.fuzz.VirtualScheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Delivers requests, orders and report calls from nodes to runners, and the results back.
 *
 * <p>Not thread-safe; one run owns it.
 */
final class BackendCalls {

  private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);

  /** Interval between two progress results of a stream. */
  private static final Duration PROGRESS_INTERVAL = Duration.ofMillis(500);

  /** Share of the requests to an unreachable runner that arrive late, as from a send buffer. */
  private static final double LATE_ARRIVAL_SHARE = 0.5;

  /** Share of the adapter loads that are slow, as when many adapters are fetched at once. */
  private static final double SLOW_ADAPTER_SHARE = 0.3;

  private final GatewayFuzz simulation;
  private final VirtualScheduler time;
  private final GatewayOracle oracle;
  private final SeededRandom network;
  private final SeededRandom adapters;
  private final List<FakeBackend> backends;

  BackendCalls(
      GatewayFuzz simulation,
      VirtualScheduler time,
      GatewayOracle oracle,
      SeededRandom network,
      SeededRandom adapters,
      List<FakeBackend> backends) {
    this.simulation = simulation;
    this.time = time;
    this.oracle = oracle;
    this.network = network;
    this.adapters = adapters;
    this.backends = backends;
  }

  private FakeBackend backend(String id) {
    return backends.stream().filter(each -> each.id().equals(id)).findFirst().orElseThrow();
  }

  void sendOrder(FuzzedNode node, long incarnation, GatewayEffect.SendOrder order) {
    FakeBackend backend = backend(order.runner().id());
    long number = order.order().number();
    if (!backend.isUp()) {
      simulation.deliverAfter(
          network.nextDuration(1, 5),
          node,
          incarnation,
          new GatewayEvent.OrderCompleted(backend.id(), number, FleetOrderOutcome.UNREACHABLE, ""));
      return;
    }
    boolean lost = network.nextBoolean(simulation.faults().lostAnswerShare());
    Duration transit = transit();
    Duration delay = lost ? network.nextDuration(1, 3_000) : network.nextDuration(1, 5);
    time.after(
        delay,
        () -> {
          FleetOrderOutcome outcome =
              backend.isUp()
                  ? backend.acceptOrder(order, transit, oracle, time.now())
                  : FleetOrderOutcome.UNREACHABLE;
          if (!lost) {
            simulation.deliverAfter(
                network.nextDuration(1, 5),
                node,
                incarnation,
                new GatewayEvent.OrderCompleted(backend.id(), number, outcome, ""));
          }
        });
    if (lost) {
      simulation.deliverAfter(
          ORDER_TIMEOUT,
          node,
          incarnation,
          new GatewayEvent.OrderCompleted(backend.id(), number, FleetOrderOutcome.UNKNOWN, ""));
    }
  }

  private Duration transit() {
    return adapters.nextBoolean(SLOW_ADAPTER_SHARE)
        ? adapters.nextDuration(200, 1_500)
        : adapters.nextDuration(5, 12);
  }

  void requestReport(FuzzedNode node, long incarnation, GatewayEffect.RequestReport request) {
    FakeBackend backend = backend(request.runner().id());
    Instant requestedAt = time.now();
    if (backend.isUp()) {
      RunnerReport report = backend.report(requestedAt);
      time.after(
          network.nextDuration(2, 10).plus(backend.remainingSilence(requestedAt)),
          () -> {
            if (backend.isRunning(report.bornMillis())) {
              simulation.deliver(
                  node, incarnation, new GatewayEvent.ReportReceived(report, requestedAt));
            }
          });
    }
  }

  void sendAttempt(FuzzedNode node, long incarnation, GatewayEffect.SendAttempt send) {
    String request = node.request(send.exchange());
    if (!node.isOpen(send.exchange())) {
      return;
    }
    node.beginAttempt(send.exchange(), send.attempt());
    FakeBackend backend = backend(send.runner().id());
    simulation.checkNoRequestAfterDrain(backend, request);
    oracle.checkNotifications(node.number(), incarnation, backend, time.now());
    if (!backend.isUp()) {
      deliverResult(
          node,
          incarnation,
          send,
          network.nextDuration(1, 5),
          new AttemptResult.NotSent("refused"));
      return;
    }
    if (backend.behavior() == FakeBackend.Behavior.UNREACHABLE) {
      if (network.nextBoolean(LATE_ARRIVAL_SHARE)) {
        time.after(
            network.nextDuration(500, 6_000),
            () -> serve(node, incarnation, send, backend, request));
      }
      return;
    }
    time.after(network.nextDuration(1, 5), () -> serve(node, incarnation, send, backend, request));
  }

  private void deliverResult(
      FuzzedNode node,
      long incarnation,
      GatewayEffect.SendAttempt send,
      Duration delay,
      AttemptResult result) {
    time.after(
        delay,
        () -> {
          if (node.incarnation() != incarnation || !node.isLive(send.exchange(), send.attempt())) {
            return;
          }
          recordResult(node.request(send.exchange()), send.attempt(), result);
          int dropped = 0;
          switch (result) {
            case AttemptResult.Started started ->
                dropped = node.keepOnlyAttempt(send.exchange(), send.attempt());
            case AttemptResult.Progressed progressed ->
                dropped = node.keepOnlyAttempt(send.exchange(), send.attempt());
            case AttemptResult.Finished finished ->
                simulation.finish(node, send.exchange(), GatewayOracle.SERVED);
            default -> {}
          }
          update(node, incarnation, send, result);
          if (dropped > 0) {
            update(node, incarnation, send, new AttemptResult.Prevailed(dropped));
          }
        });
  }

  /** Delivers what a runner sends after a delay; if it crashes before, its connection ends. */
  private void deliverFromRunner(
      FuzzedNode node,
      long incarnation,
      GatewayEffect.SendAttempt send,
      FakeBackend backend,
      Duration delay,
      AttemptResult result) {
    long bornMillis = backend.bornMillis();
    time.after(
        delay,
        () ->
            deliverResult(
                node, incarnation, send, Duration.ZERO, backend.resultOf(bornMillis, result)));
  }

  private void update(
      FuzzedNode node, long incarnation, GatewayEffect.SendAttempt send, AttemptResult result) {
    simulation.deliver(
        node,
        incarnation,
        new GatewayEvent.AttemptUpdated(send.exchange(), send.attempt(), result));
  }

  private void recordResult(String request, int attempt, AttemptResult result) {
    switch (result) {
      case AttemptResult.Started _,
          AttemptResult.Progressed _,
          AttemptResult.Prevailed _,
          AttemptResult.Paused _,
          AttemptResult.Resumed _,
          AttemptResult.Finished _ ->
          oracle.runs().recordProgress(request, attempt, time.now());
      case AttemptResult.Answered _,
          AttemptResult.NotSent _,
          AttemptResult.LocalFault _,
          AttemptResult.Broken _ ->
          oracle.runs().recordFailure(request, attempt);
    }
  }

  private void serve(
      FuzzedNode node,
      long incarnation,
      GatewayEffect.SendAttempt send,
      FakeBackend backend,
      String request) {
    oracle.recordArrival(request, time.now());
    oracle.recordCrashingArrival(request, simulation.faults().isNodeCalm(node), time.now());
    String[] parts = request.split("~", -1);
    String model = parts[1];
    String adapter = parts[2];
    Duration soon = network.nextDuration(1, 5).plus(backend.remainingSilence(time.now()));
    if (backend.isUp() && backend.behavior() != FakeBackend.Behavior.SILENT) {
      backend
          .notifications(time.now())
          .forEach(
              notification -> notifyNode(node, incarnation, send.runner(), soon, notification));
    }
    if (!backend.isUp()) {
      deliverResult(
          node, incarnation, send, soon, new AttemptResult.Broken("reset", false, "", true));
    } else if (backend.behavior() == FakeBackend.Behavior.FULL || backend.isPausing(time.now())) {
      AttemptResult refusal = new AttemptResult.Answered(503, true, true);
      deliverFromRunner(node, incarnation, send, backend, soon, refusal);
    } else if (!backend.canServe(model, adapter, time.now())) {
      AttemptResult refusal = new AttemptResult.Answered(421, true, true);
      deliverFromRunner(node, incarnation, send, backend, soon, refusal);
    } else {
      oracle.recordRun(request, backend.id(), time.now());
      if (parts[3].startsWith(GatewayOracle.CRASHING)) {
        backend.startRequest(model, adapter);
        Duration untilCrash = network.nextDuration(10, 80);
        boolean afterFirstEvent = send.streaming() && send.exchange() % 2 == 0;
        if (afterFirstEvent) {
          deliverFromRunner(
              node, incarnation, send, backend, untilCrash, new AttemptResult.Started());
          untilCrash = untilCrash.plus(network.nextDuration(10, 300));
        }
        time.after(untilCrash, () -> crash(node, incarnation, send, backend, afterFirstEvent));
        return;
      }
      answer(node, incarnation, send, backend, backend.startRequest(model, adapter));
    }
  }

  /** Lets a runner crash before or after the first event of the response to a request. */
  private void crash(
      FuzzedNode node,
      long incarnation,
      GatewayEffect.SendAttempt send,
      FakeBackend backend,
      boolean afterFirstEvent) {
    if (backend.isUp() && node.isLive(send.exchange(), send.attempt())) {
      oracle.recordCrash(node.request(send.exchange()), time.now());
      backend.crash();
      time.after(network.nextDuration(2_000, 4_000), backend::restart);
    }
    deliverResult(
        node,
        incarnation,
        send,
        Duration.ofMillis(1),
        new AttemptResult.Broken("reset", afterFirstEvent, "", true));
  }

  private void notifyNode(
      FuzzedNode node,
      long incarnation,
      RunnerEntry runner,
      Duration delay,
      RunnerNotification notification) {
    time.after(
        delay,
        () -> {
          if (node.incarnation() == incarnation && node.runs()) {
            oracle.recordNotification(
                node.number(), incarnation, RunnerRun.of(runner), notification, time.now());
            simulation.deliver(
                node, incarnation, new GatewayEvent.RunnerNotified(runner, notification));
          }
        });
  }

  private void answer(
      FuzzedNode node,
      long incarnation,
      GatewayEffect.SendAttempt send,
      FakeBackend backend,
      Runnable ended) {
    Duration first =
        backend.behavior() == FakeBackend.Behavior.SLOW
            ? network.nextDuration(1_000, 5_000)
            : network.nextDuration(10, 80);
    Duration total = first.plus(send.streaming() ? streamLength(backend) : Duration.ZERO);
    oracle
        .runs()
        .beginRun(node.request(send.exchange()), send.attempt(), backend.isSound(), time.now());
    if (isAnswered(backend.behavior())) {
      Answer answer =
          new Answer(
              node,
              incarnation,
              send,
              node.request(send.exchange()),
              backend,
              backend.bornMillis(),
              ended);
      time.after(first, () -> start(answer, total.minus(first)));
      return;
    }
    time.after(total, ended);
    switch (backend.behavior()) {
      case FAILING ->
          deliverFromRunner(
              node,
              incarnation,
              send,
              backend,
              first,
              new AttemptResult.Answered(500, false, true));
      case ANSWER_LOST ->
          deliverResult(
              node, incarnation, send, first, new AttemptResult.Broken("closed", false, "", true));
      case ANSWER_CUT -> {
        if (send.streaming()) {
          deliverFromRunner(node, incarnation, send, backend, first, new AttemptResult.Started());
        }
        deliverResult(
            node,
            incarnation,
            send,
            total,
            new AttemptResult.Broken("cut", send.streaming(), send.streaming() ? "3" : "", false));
      }
      case SILENT -> {}
      default -> throw new IllegalStateException("not a fault: " + backend.behavior());
    }
  }

  /** Returns whether a runner with this behavior sends complete answers. */
  private static boolean isAnswered(FakeBackend.Behavior behavior) {
    return switch (behavior) {
      case FAILING, ANSWER_LOST, ANSWER_CUT, SILENT -> false;
      case HEALTHY, FULL, UNREACHABLE, SLOW, LONG_STREAMS -> true;
    };
  }

  /** The complete answer of a runner, which is sent part by part. */
  private record Answer(
      FuzzedNode node,
      long incarnation,
      GatewayEffect.SendAttempt send,
      String request,
      FakeBackend backend,
      long bornMillis,
      Runnable ended) {

    boolean isRunnerAlive() {
      return backend.isRunning(bornMillis);
    }
  }

  private void start(Answer answer, Duration left) {
    sendPart(
        answer,
        left,
        () -> {
          deliverNow(answer, new AttemptResult.Started());
          scheduleNextPart(answer, left);
        });
  }

  private void scheduleNextPart(Answer answer, Duration left) {
    boolean last = left.compareTo(PROGRESS_INTERVAL) <= 0;
    Duration delay = last ? left : PROGRESS_INTERVAL;
    Duration remaining = left.minus(delay);
    Runnable next =
        last
            ? () -> complete(answer)
            : () -> {
              deliverNow(answer, new AttemptResult.Progressed());
              scheduleNextPart(answer, remaining);
            };
    time.after(delay, () -> sendPart(answer, remaining, next));
  }

  /**
   * Sends a part of an answer once the runner is not silent.
   *
   * @param left time for the parts after this one, after which the end of a crashed runner is
   *     noticed
   */
  private void sendPart(Answer answer, Duration left, Runnable part) {
    Duration silence = answer.backend().remainingSilence(time.now());
    if (!answer.isRunnerAlive()) {
      time.after(left, answer.ended());
      boolean streaming = answer.send().streaming();
      deliverResult(
          answer.node(),
          answer.incarnation(),
          answer.send(),
          left,
          new AttemptResult.Broken("reset", streaming, "2", true));
    } else if (!silence.isZero()) {
      time.after(silence, () -> sendPart(answer, left, part));
    } else {
      part.run();
    }
  }

  private void complete(Answer answer) {
    answer.ended().run();
    oracle.runs().completeRun(answer.request(), answer.send().attempt(), time.now());
    deliverNow(answer, new AttemptResult.Finished(200));
  }

  private void deliverNow(Answer answer, AttemptResult result) {
    deliverResult(answer.node(), answer.incarnation(), answer.send(), Duration.ZERO, result);
  }

  private Duration streamLength(FakeBackend backend) {
    return backend.behavior() == FakeBackend.Behavior.LONG_STREAMS
        ? network.nextDuration(3_000, 8_000)
        : network.nextDuration(100, 900);
  }
}
