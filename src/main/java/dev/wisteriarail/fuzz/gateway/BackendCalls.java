package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.fleet.RunnerRun;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.fuzz.Chance;
import dev.wisteriarail.fuzz.VirtualScheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Carries what nodes send to runners, and what comes back: requests, orders and questions.
 *
 * <p>Not thread-safe; one run owns it.
 */
final class BackendCalls {

  private static final Duration ORDER_SILENCE = Duration.ofMillis(500);

  /** Pause between two words of a long stream's progress. */
  private static final Duration PROGRESS = Duration.ofMillis(500);

  /** Share of what is sent to a dark runner that reaches it in the end, as from a send buffer. */
  private static final double LATE_ARRIVALS = 0.5;

  /** Share of the adapters that are long in transit, as when many are fetched at once. */
  private static final double SLOW_ADAPTERS = 0.3;

  private final GatewayFuzz world;
  private final VirtualScheduler time;
  private final GatewayOracle oracle;
  private final Chance network;
  private final Chance adapters;
  private final List<FakeBackend> backends;

  BackendCalls(
      GatewayFuzz world,
      VirtualScheduler time,
      GatewayOracle oracle,
      Chance network,
      Chance adapters,
      List<FakeBackend> backends) {
    this.world = world;
    this.time = time;
    this.oracle = oracle;
    this.network = network;
    this.adapters = adapters;
    this.backends = backends;
  }

  private FakeBackend backend(String id) {
    return backends.stream().filter(each -> each.id().equals(id)).findFirst().orElseThrow();
  }

  void order(FuzzedNode node, long run, GatewayEffect.SendOrder order) {
    FakeBackend backend = backend(order.runner().id());
    long number = order.order().number();
    if (!backend.isUp()) {
      world.later(
          network.millis(1, 5),
          node,
          run,
          new GatewayEvent.OrderCompleted(backend.id(), number, FleetOrderOutcome.UNREACHABLE, ""));
      return;
    }
    boolean lost = network.happens(world.faults().lostAnswers());
    Duration transit = transit();
    Duration delay = lost ? network.millis(1, 3_000) : network.millis(1, 5);
    time.after(
        delay,
        () -> {
          FleetOrderOutcome outcome =
              backend.isUp()
                  ? backend.order(order, transit, oracle, time.now())
                  : FleetOrderOutcome.UNREACHABLE;
          if (!lost) {
            world.later(
                network.millis(1, 5),
                node,
                run,
                new GatewayEvent.OrderCompleted(backend.id(), number, outcome, ""));
          }
        });
    if (lost) {
      world.later(
          ORDER_SILENCE,
          node,
          run,
          new GatewayEvent.OrderCompleted(backend.id(), number, FleetOrderOutcome.UNKNOWN, ""));
    }
  }

  private Duration transit() {
    return adapters.happens(SLOW_ADAPTERS) ? adapters.millis(200, 1_500) : adapters.millis(5, 12);
  }

  void report(FuzzedNode node, long run, GatewayEffect.RequestReport ask) {
    FakeBackend backend = backend(ask.runner().id());
    Instant askedAt = time.now();
    if (backend.isUp()) {
      world.later(
          network.millis(2, 10),
          node,
          run,
          new GatewayEvent.ReportReceived(backend.report(askedAt), askedAt));
    }
  }

  void send(FuzzedNode node, long run, GatewayEffect.SendAttempt send) {
    String request = node.request(send.exchange());
    if (!node.isOpen(send.exchange())) {
      return;
    }
    node.beginAttempt(send.exchange(), send.attempt());
    FakeBackend backend = backend(send.runner().id());
    world.checkDrain(backend, request);
    oracle.checkWords(node.number(), run, backend, time.now());
    if (!backend.isUp()) {
      tell(node, run, send, network.millis(1, 5), new AttemptResult.NotSent("refused"));
      return;
    }
    if (backend.mood() == FakeBackend.Mood.DARK) {
      if (network.happens(LATE_ARRIVALS)) {
        time.after(network.millis(500, 6_000), () -> serve(node, run, send, backend, request));
      }
      return;
    }
    time.after(network.millis(1, 5), () -> serve(node, run, send, backend, request));
  }

  private void tell(
      FuzzedNode node,
      long run,
      GatewayEffect.SendAttempt send,
      Duration delay,
      AttemptResult result) {
    time.after(
        delay,
        () -> {
          if (node.run() != run || !node.isCurrent(send.exchange(), send.attempt())) {
            return;
          }
          if (result instanceof AttemptResult.Finished) {
            world.finish(node, send.exchange(), GatewayOracle.SERVED);
          }
          world.deliver(
              node, run, new GatewayEvent.AttemptUpdated(send.exchange(), send.attempt(), result));
        });
  }

  private void serve(
      FuzzedNode node,
      long run,
      GatewayEffect.SendAttempt send,
      FakeBackend backend,
      String request) {
    oracle.arrive(request, time.now());
    String[] parts = request.split("~", -1);
    String model = parts[1];
    String adapter = parts[2];
    Duration soon = network.millis(1, 5);
    if (backend.isUp() && backend.mood() != FakeBackend.Mood.SILENT) {
      backend.words(time.now()).forEach(word -> speak(node, run, send.runner(), soon, word));
    }
    if (!backend.isUp()) {
      tell(node, run, send, soon, new AttemptResult.Broken("reset", false, "", true));
    } else if (backend.mood() == FakeBackend.Mood.FULL || backend.isPausing(time.now())) {
      tell(node, run, send, soon, new AttemptResult.Answered(503, true, true));
    } else if (!backend.holds(model, adapter, time.now())) {
      tell(node, run, send, soon, new AttemptResult.Answered(421, true, true));
    } else {
      oracle.run(request, backend.id(), time.now());
      answer(node, run, send, backend, backend.begin(model, adapter));
    }
  }

  private void speak(
      FuzzedNode node, long run, RunnerEntry runner, Duration delay, RunnerNotification word) {
    time.after(
        delay,
        () -> {
          if (node.run() == run && node.runs()) {
            oracle.noteWord(node.number(), run, RunnerRun.of(runner), word, time.now());
            world.deliver(node, run, new GatewayEvent.RunnerNotified(runner, word));
          }
        });
  }

  private void answer(
      FuzzedNode node,
      long run,
      GatewayEffect.SendAttempt send,
      FakeBackend backend,
      Runnable ended) {
    Duration first =
        backend.mood() == FakeBackend.Mood.SLOW
            ? network.millis(1_000, 5_000)
            : network.millis(10, 80);
    Duration whole = first.plus(send.streaming() ? streamLength(backend) : Duration.ZERO);
    long born = backend.born();
    time.after(whole, ended);
    time.after(
        whole,
        () -> {
          if (!backend.isUp() || backend.born() != born) {
            tell(
                node,
                run,
                send,
                Duration.ZERO,
                new AttemptResult.Broken("reset", send.streaming(), "2", true));
          }
        });
    switch (backend.mood()) {
      case FAILING -> tell(node, run, send, first, new AttemptResult.Answered(500, false, true));
      case ANSWER_LOST ->
          tell(node, run, send, first, new AttemptResult.Broken("closed", false, "", true));
      case CUT -> {
        if (send.streaming()) {
          tell(node, run, send, first, new AttemptResult.Started());
        }
        tell(
            node,
            run,
            send,
            whole,
            new AttemptResult.Broken("cut", send.streaming(), send.streaming() ? "3" : "", false));
      }
      case SILENT -> {}
      default -> {
        tell(node, run, send, first, new AttemptResult.Started());
        for (Duration at = first.plus(PROGRESS); at.compareTo(whole) < 0; at = at.plus(PROGRESS)) {
          tell(node, run, send, at, new AttemptResult.Progressed());
        }
        time.after(
            whole,
            () -> {
              if (backend.isUp() && backend.born() == born) {
                tell(node, run, send, Duration.ZERO, new AttemptResult.Finished(200));
              }
            });
      }
    }
  }

  private Duration streamLength(FakeBackend backend) {
    return backend.mood() == FakeBackend.Mood.LONG
        ? network.millis(3_000, 8_000)
        : network.millis(100, 900);
  }
}
