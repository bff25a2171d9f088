package dev.wisteriarail.core.request;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

/**
 * Measures request handling in virtual time and prints the results as tables. Not part of the
 * regular tests; run it with {@code ./build test -Dtest=RequestBench}.
 */
class RequestBench {

  private static final int CUSTOMERS = 4;
  private static final double NORMAL_RATE = 10;
  private static final double MEAN_SECONDS = 0.2;
  private static final Duration RUN = Duration.ofMinutes(5);

  // Flood

  @Test
  void flood() {
    print(
        "| limit of each customer | flood | others' p50 ms | p99 ms | refused | served of flood |");
    for (double limit : List.of(2 * NORMAL_RATE, 1_000_000.0)) {
      for (int factor : List.of(1, 20)) {
        print(new FloodRun(limit, factor).execute());
      }
    }
  }

  /** A run in which the first customer sends at a multiple of its normal rate. */
  private static final class FloodRun {
    private final SplittableRandom random = new SplittableRandom(11);
    private final double limit;
    private final int factor;
    private final TableFixture fixture;
    private final Map<String, Instant> arrivals = new HashMap<>();
    private final PriorityQueue<Map.Entry<Instant, AttemptId>> attemptEnds =
        new PriorityQueue<>(Map.Entry.comparingByKey());
    private final Histogram latency = new Histogram(3_600_000_000L, 3);
    private int othersRefused;
    private int floodServed;

    FloodRun(double limit, int factor) {
      this.limit = limit;
      this.factor = factor;
      CustomerSpec[] customers =
          IntStream.rangeClosed(1, CUSTOMERS)
              .mapToObj(
                  i ->
                      new CustomerSpec(
                          CustomerId.of("c" + i), List.of(), 1, limit, (int) limit, 100, 200))
              .toArray(CustomerSpec[]::new);
      fixture = TableFixture.create(8, customers);
    }

    String execute() {
      Instant end = fixture.now.plus(RUN);
      Instant[] next = new Instant[CUSTOMERS];
      for (int i = 0; i < CUSTOMERS; i++) {
        next[i] = fixture.now.plusNanos(nanosToNextArrival(i));
      }
      int sequence = 0;
      while (fixture.now.isBefore(end)) {
        int first =
            IntStream.range(0, CUSTOMERS)
                .boxed()
                .min(Comparator.comparing(i -> next[i]))
                .orElseThrow();
        advanceTo(next[first]);
        sequence++;
        String id = "c" + (first + 1) + "-" + sequence;
        arrivals.put(id, fixture.now);
        fixture.send(TableFixture.service(id, "c" + (first + 1), "urgent", "{}"));
        processEffects();
        next[first] = fixture.now.plusNanos(nanosToNextArrival(first));
      }
      return "| %s | %d x | %.1f | %.1f | %d | %d |"
          .formatted(
              limit > 1_000 ? "none" : "%.0f/s".formatted(limit),
              factor,
              latency.getValueAtPercentile(50) / 1e3,
              latency.getValueAtPercentile(99) / 1e3,
              othersRefused,
              floodServed);
    }

    private long nanosToNextArrival(int customer) {
      double rate = NORMAL_RATE * (customer == 0 ? factor : 1);
      return (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
    }

    private void advanceTo(Instant time) {
      while (!attemptEnds.isEmpty() && attemptEnds.peek().getKey().isBefore(time)) {
        Map.Entry<Instant, AttemptId> ended = attemptEnds.poll();
        fixture.advance(Duration.between(fixture.now, ended.getKey()));
        processEffects();
        fixture.complete(ended.getValue());
        processEffects();
      }
      fixture.advance(Duration.between(fixture.now, time));
      processEffects();
    }

    private void processEffects() {
      for (Effect effect : fixture.effects) {
        if (effect instanceof Effect.Dispatch dispatch) {
          double seconds = MEAN_SECONDS * (0.5 + random.nextDouble());
          attemptEnds.add(
              Map.entry(fixture.now.plusNanos((long) (seconds * 1e9)), dispatch.attempt()));
        } else if (effect instanceof Effect.EndRequest end) {
          count(end);
        }
      }
      fixture.effects.clear();
    }

    private void count(Effect.EndRequest end) {
      boolean isFlood = end.request().value().startsWith("c1-");
      boolean served = end.ending() instanceof RequestOutcome.Completed;
      if (isFlood) {
        floodServed += served ? 1 : 0;
      } else if (served) {
        Duration elapsed = Duration.between(arrivals.get(end.request().value()), fixture.now);
        latency.recordValue(elapsed.toNanos() / 1_000);
      } else {
        othersRefused++;
      }
    }
  }

  // At most once

  @Test
  void appends() {
    print(
        "| nodes | requests/s | appends/s | changes per append | added latency p50 ms | p99 ms |");
    for (int rate : List.of(10, 50, 200, 1_000, 4_300)) {
      print(measureAppends(8, rate));
    }
  }

  private static String measureAppends(int nodes, int rate) {
    RequestFleet fleet = Requests.fleet(nodes);
    Histogram addedLatency = new Histogram(60_000_000L, 3);
    Map<String, Instant> arrivals = new HashMap<>();
    SplittableRandom random = new SplittableRandom(5);
    long appendsBefore = fleet.intentAppends();
    int seconds = rate >= 1_000 ? 2 : 10;
    int steps = seconds * 100;
    int sent = 0;
    int processed = 0;
    for (int step = 0; step < steps; step++) {
      while (sent < (long) rate * step / 100) {
        String id = "q" + sent;
        NodeId node = RequestFleet.node(1 + random.nextInt(nodes));
        arrivals.put(id, fleet.now);
        fleet.feed(node, new Event.RequestArrived(Requests.order(id, "k" + sent)));
        sent++;
      }
      fleet.advance(Duration.ofMillis(10));
      List<Effect.Dispatch> started =
          new ArrayList<>(fleet.dispatches.subList(processed, fleet.dispatches.size()));
      processed = fleet.dispatches.size();
      for (Effect.Dispatch dispatch : started) {
        Instant arrival = arrivals.get(dispatch.request().id().value());
        addedLatency.recordValue(Duration.between(arrival, fleet.now).toNanos() / 1_000);
        fleet.answer(dispatch, "sent", 201);
      }
    }
    double appends = (double) (fleet.intentAppends() - appendsBefore) / seconds;
    return "| %d | %d | %.0f | %.1f | %.0f | %.0f |"
        .formatted(
            nodes,
            rate,
            appends,
            2.0 * rate / appends,
            addedLatency.getValueAtPercentile(50) / 1e3,
            addedLatency.getValueAtPercentile(99) / 1e3);
  }

  // Poison requests

  @Test
  void poison() {
    print("| concurrent poison copies | harmless requests | servers lost | harmless refused |");
    for (int copies : List.of(1, 2, 4)) {
      for (int harmlessRequests : List.of(0, 5)) {
        print(measurePoison(copies, harmlessRequests));
      }
    }
  }

  private static String measurePoison(int copies, int harmlessRequests) {
    TableFixture fixture = TableFixture.create();
    for (int i = 0; i < harmlessRequests; i++) {
      fixture.send(TableFixture.service("good" + i, "c2", "urgent", "{\"n\":" + i + "}"));
    }
    for (int i = 0; i < copies; i++) {
      fixture.send(TableFixture.service("bad" + i, "c1", "urgent", "{\"bad\":1}"));
    }
    int lost = 0;
    for (int round = 0; round < 20; round++) {
      lost += crashServers(fixture);
      fixture.advance(Duration.ofMillis(500));
      fixture.send(TableFixture.service("again" + round, "c1", "urgent", "{\"bad\":1}"));
    }
    long refused =
        IntStream.range(0, harmlessRequests)
            .filter(i -> fixture.refusal("good" + i).isPresent())
            .count();
    return "| %d | %d | %d | %d |".formatted(copies, harmlessRequests, lost, refused);
  }

  /** Crashes every server that runs a poison request; the attempts on the others complete. */
  private static int crashServers(TableFixture fixture) {
    List<Effect.Dispatch> running = new ArrayList<>(fixture.dispatches());
    fixture.effects.removeIf(Effect.Dispatch.class::isInstance);
    List<String> crashed =
        running.stream()
            .filter(dispatch -> dispatch.request().body().contains("bad"))
            .map(dispatch -> dispatch.runner().value())
            .distinct()
            .toList();
    for (Effect.Dispatch dispatch : running) {
      if (crashed.contains(dispatch.runner().value())) {
        fixture.crash(dispatch.attempt());
      } else {
        fixture.complete(dispatch.attempt());
      }
    }
    for (String runner : crashed) {
      long run = fixture.runners.incarnation(RunnerId.of(runner)).value();
      fixture.report(runner, run + 1);
    }
    return crashed.size();
  }

  private static void print(String line) {
    System.out.println(line);
  }
}
