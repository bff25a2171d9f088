package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.LoadTimes;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.Target;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

/**
 * Benchmark that compares the router with round robin and power of two choices on one seeded
 * arrival sequence, in virtual time. Not part of the tests: run it with {@code ./build test
 * -Dtest=RoutingBench}.
 */
class RoutingBench {

  private static final int NODES = 8;
  private static final int RUNNERS = 12;
  private static final int SLOTS = 8;
  private static final int SESSIONS = 600;
  private static final int CACHED_SESSIONS = 80;
  private static final double PREFILL_MS = 240;
  private static final double CACHED_PREFILL_MS = 40;
  private static final double DECODE_MS = 700;
  private static final double REPORT_MS = 200;
  private static final double RUN_MS = 240_000;
  private static final ModelId MODEL = ModelId.of("m1");
  private static final CustomerId CUSTOMER = CustomerId.of("c1");

  /** How a node selects a runner. */
  enum Policy {
    /** The {@link Router} under test. */
    ROUTER,
    /** Each node uses the runners in turn. */
    ROUND_ROBIN,
    /** The less loaded of two random runners, according to their reports. */
    POWER_OF_TWO
  }

  @Test
  void compare() {
    System.out.println(
        "| requests/s | policy | first token p50 ms | p95 | p99 | prefix hits | max/mean load |");
    for (int rate : List.of(40, 60, 75)) {
      for (Policy policy : Policy.values()) {
        System.out.println(new Run(policy, rate).execute());
      }
    }
  }

  /** A simulated engine with slots, a queue and an LRU cache of sessions. */
  private static final class Engine {
    private final Deque<Work> queue = new ArrayDeque<>();
    private final Map<Integer, Boolean> cache =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
            return size() > CACHED_SESSIONS;
          }
        };
    private int active;
    private int received;
  }

  /** A request that runs on an engine or waits on its node. */
  private record Work(int node, int session, double arrival, int runner) {}

  /** An action scheduled at a point in virtual time. */
  private record ScheduledAction(double at, long order, Runnable action) {}

  private static final class Run {
    private final SplittableRandom random = new SplittableRandom(7);
    private final PriorityQueue<ScheduledAction> scheduledActions =
        new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledAction::at)
                .thenComparingLong(ScheduledAction::order));
    private final List<Engine> engines = new ArrayList<>();
    private final List<RunnerTable> tables = new ArrayList<>();
    private final List<Deque<Work>> waiting = new ArrayList<>();
    private final int[] roundRobinPositions = new int[NODES];
    private final Histogram firstToken = new Histogram(600_000_000L, 3);
    private final List<Router> routers =
        IntStream.range(0, NODES)
            .mapToObj(node -> Router.create(FailureDomain.of("fd1"), node))
            .toList();
    private final Configuration configuration = configuration();
    private final Policy policy;
    private final int rate;
    private double now;
    private long order;
    private int hits;
    private int total;

    Run(Policy policy, int rate) {
      this.policy = policy;
      this.rate = rate;
      IntStream.range(0, RUNNERS).forEach(i -> engines.add(new Engine()));
      for (int node = 0; node < NODES; node++) {
        tables.add(RunnerTable.create());
        waiting.add(new ArrayDeque<>());
      }
    }

    String execute() {
      publish();
      at(1, this::arrive);
      while (!scheduledActions.isEmpty() && scheduledActions.peek().at() < RUN_MS) {
        ScheduledAction next = scheduledActions.poll();
        now = next.at();
        next.action().run();
      }
      int most = engines.stream().mapToInt(engine -> engine.received).max().orElseThrow();
      double mean = engines.stream().mapToInt(engine -> engine.received).average().orElseThrow();
      return "| %d | %s | %.0f | %.0f | %.0f | %.1f%% | %.2f |"
          .formatted(
              rate,
              policy,
              firstToken.getValueAtPercentile(50) / 1e3,
              firstToken.getValueAtPercentile(95) / 1e3,
              firstToken.getValueAtPercentile(99) / 1e3,
              100.0 * hits / total,
              most / mean);
    }

    private void arrive() {
      double skewed = random.nextDouble() * random.nextDouble();
      Work work = new Work(random.nextInt(NODES), (int) (skewed * SESSIONS), now, -1);
      if (!route(work)) {
        waiting.get(work.node()).add(work);
      }
      at(now - Math.log(1 - random.nextDouble()) / rate * 1_000, this::arrive);
    }

    private boolean route(Work work) {
      RunnerTable table = tables.get(work.node());
      InboundRequest request = request(work.session());
      Optional<Integer> chosen = choose(work.node(), request, table);
      chosen.ifPresent(
          runner -> {
            table.addAttempt(id(runner), CUSTOMER);
            table.recordPrompt(id(runner), request);
            Work placed = new Work(work.node(), work.session(), work.arrival(), runner);
            engines.get(runner).queue.add(placed);
            engines.get(runner).received++;
            serve(runner);
          });
      return chosen.isPresent();
    }

    private Optional<Integer> choose(int node, InboundRequest request, RunnerTable table) {
      return switch (policy) {
        case ROUTER ->
            routers
                .get(node)
                .choose(
                    new RouteRequest(request, Urgency.URGENT, runner -> true),
                    configuration,
                    table,
                    replica -> true)
                .map(route -> Integer.parseInt(route.runner().value().substring(1)));
        case ROUND_ROBIN -> {
          roundRobinPositions[node]++;
          yield Optional.of(roundRobinPositions[node] % RUNNERS);
        }
        case POWER_OF_TWO -> {
          int one = random.nextInt(RUNNERS);
          int other = random.nextInt(RUNNERS);
          yield Optional.of(reported(table, one) <= reported(table, other) ? one : other);
        }
      };
    }

    private static int reported(RunnerTable table, int runner) {
      return table
          .report(id(runner))
          .map(report -> report.activeRequests() + report.queuedRequests())
          .orElse(0);
    }

    private void serve(int runner) {
      Engine engine = engines.get(runner);
      while (engine.active < SLOTS && !engine.queue.isEmpty()) {
        Work work = engine.queue.poll();
        engine.active++;
        boolean hit = engine.cache.put(work.session(), true) != null;
        total++;
        hits += hit ? 1 : 0;
        double slowdown = 1 + (double) engine.active / SLOTS;
        double first = (hit ? CACHED_PREFILL_MS : PREFILL_MS) * slowdown;
        double decode = DECODE_MS * (0.5 + random.nextDouble());
        firstToken.recordValue((long) ((now + first - work.arrival()) * 1_000));
        at(now + first + decode, () -> finish(work));
      }
    }

    private void finish(Work work) {
      engines.get(work.runner()).active--;
      tables.get(work.node()).removeAttempt(id(work.runner()), CUSTOMER);
      serve(work.runner());
      retryWaiting(work.node());
    }

    private void retryWaiting(int node) {
      Deque<Work> queue = waiting.get(node);
      while (!queue.isEmpty() && route(queue.peek())) {
        queue.poll();
      }
    }

    /** Delivers each engine's state to all nodes, delayed by one report interval. */
    private void publish() {
      for (int runner = 0; runner < RUNNERS; runner++) {
        Engine engine = engines.get(runner);
        EngineReport report = report(runner, engine.active, engine.queue.size());
        at(now + REPORT_MS, () -> deliver(report));
        if (now == 0) {
          deliver(report);
        }
      }
      at(now + REPORT_MS, this::publish);
    }

    private void deliver(EngineReport report) {
      for (int node = 0; node < NODES; node++) {
        tables.get(node).acceptReport(report);
        retryWaiting(node);
      }
    }

    private void at(double time, Runnable action) {
      order++;
      scheduledActions.add(new ScheduledAction(time, order, action));
    }
  }

  // Builders

  private static RunnerId id(int runner) {
    return RunnerId.of("r" + runner);
  }

  private static EngineReport report(int runner, int active, int queued) {
    ReplicaStatus status =
        new ReplicaStatus(
            ReplicaId.of("m1." + runner), MODEL, "v1", ReplicaPhase.READY, 1, active, List.of());
    return new EngineReport(
        id(runner),
        Incarnation.of(1),
        FencingNumber.NONE,
        false,
        active,
        queued,
        1,
        List.of(status));
  }

  private static InboundRequest request(int session) {
    return new InboundRequest(
        RequestId.of("q"),
        CUSTOMER,
        KindId.of("k"),
        new Target.ModelTarget(MODEL, Optional.empty()),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        ("session" + session + ";").repeat(100));
  }

  private static Configuration configuration() {
    LoadTimes times =
        new LoadTimes(Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofSeconds(1));
    List<RunnerSpec> runners =
        IntStream.range(0, RUNNERS)
            .mapToObj(
                i ->
                    new RunnerSpec(
                        id(i), "", FailureDomain.of("fd1"), RunnerRole.MODEL, 100, 8, SLOTS, true))
            .toList();
    return Configuration.merge(
        Revision.of(1),
        List.of(
            new Section(
                "bench",
                Optional.empty(),
                List.of(new ModelSpec(MODEL, CUSTOMER, "v1", 1, 1, RUNNERS, times, List.of())),
                List.of(),
                List.of(new CustomerSpec(CUSTOMER, List.of(), 1, 1e6, 1_000, 1_000, 1_000)),
                List.of(),
                List.of(),
                runners)));
  }
}
