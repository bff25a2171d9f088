package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.FleetPosition;
import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerUse;
import dev.wisteriarail.core.fleet.RunnerView;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.LoadBalance;
import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.route.CallerBounds;
import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.RouteKind;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.route.ServicePool;
import dev.wisteriarail.core.route.ServiceShare;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Simulates in virtual time how nodes with stale figures choose among runners. The nodes use {@link
 * RunnerPicker} and {@link RunnerStateTable}; network, coordinator and runners are modelled here.
 *
 * <p>A request holds a slot of its runner while its prompt is read (a fiftieth of the time) and its
 * answer generated. Reports and views are each sent every 0.9 of the age and take 0.05 of it, so
 * that the figures in use have that age on average. The share of requests of the n-th node is in
 * proportion to the inverse root of n.
 */
final class EvenLoadSimulation {

  /** How runners are selected; with perfect figures, the one with the fewest requests. */
  enum Rule {
    OLD,
    NEW,
    PERFECT
  }

  /**
   * Parameters of a run.
   *
   * @param ageMillis mean age of the figures in use
   * @param load share of all slots that is in use on average
   * @param skew standard deviation of the logarithm of the sizes of requests
   * @param meanMillis mean time for which a request holds a slot
   * @param threshold relative change of a figure from which it is published again
   */
  record Setup(
      int nodes,
      int runners,
      int ageMillis,
      double load,
      double skew,
      int meanMillis,
      double threshold) {}

  /**
   * Result of a run; waits are 99th percentiles.
   *
   * @param busiest most requests that a runner had on average in a second, over the mean of all
   * @param rejectedShare share of arrivals at runners that were rejected
   * @param slotMillis time from a request's arrival to its slot
   * @param firstEventMillis time from a request's arrival to its first event
   * @param lost number of requests that were given up after six rejections
   */
  record Result(
      double busiest, double rejectedShare, double slotMillis, double firstEventMillis, int lost) {}

  static final int SLOTS = 16;
  private static final String SERVICE = "engines";
  private static final int TICK_MILLIS = 50;

  private final Setup setup;
  private final Rule rule;
  private final Random random;
  private final RunnerDirectory directory = RunnerDirectory.create();
  private final GatewayConfiguration configuration;
  private final RouteSpec route;
  final List<Runner> runners = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::sequence));
  private final Map<Node, List<RunnerUse>> reports = new HashMap<>();
  private final List<Double> slotWaits = new ArrayList<>();
  private final List<Double> eventWaits = new ArrayList<>();
  private double nowMillis;
  private long sequence;
  private long revision;
  private int arrivals;
  private int rejections;
  private int lost;
  boolean publishing = true;

  EvenLoadSimulation(Setup setup, Rule rule, long seed) {
    this.setup = setup;
    this.rule = rule;
    random = new Random(seed);
    route =
        new RouteSpec(
            "chat",
            "h",
            "/",
            RouteKind.STREAMING,
            Duration.ofSeconds(60),
            Duration.ofSeconds(1),
            0,
            List.of(new ServiceShare(SERVICE, 1)),
            2,
            false,
            false,
            Duration.ofSeconds(1),
            false);
    EngineSpec engine = new EngineSpec(SLOTS, Long.MAX_VALUE / 2, 130, 4, 5, List.of());
    configuration =
        GatewayConfiguration.withoutTenants(
            1,
            List.of(route),
            Map.of(SERVICE, new ServicePool(SERVICE, 100, Optional.of(engine))),
            CallerBounds.DEFAULT);
    for (int i = 0; i < setup.runners(); i++) {
      runners.add(new Runner(i, Math.exp(0.25 * random.nextGaussian())));
    }
    updateDirectory();
    double capacity = runners.stream().mapToDouble(runner -> SLOTS / runner.pace).sum();
    double weights = 0;
    for (int i = 0; i < setup.nodes(); i++) {
      nodes.add(new Node(i));
      weights += nodes.get(i).weight;
    }
    double interval = setup.ageMillis() * 0.9;
    for (Node node : nodes) {
      double rate = setup.load() * capacity / setup.meanMillis() * node.weight / weights;
      at(random.nextDouble() * interval, () -> report(node, interval));
      at(nextArrival(rate), () -> arrive(node, rate));
      at(random.nextDouble() * TICK_MILLIS, () -> tick(node));
    }
    at(interval, () -> publish(interval));
  }

  /** Returns the result of some seconds, after the runners have filled up. */
  Result run(int seconds) {
    runFor(5.0 * setup.meanMillis());
    return measure(seconds);
  }

  Result measure(int seconds) {
    slotWaits.clear();
    eventWaits.clear();
    arrivals = 0;
    rejections = 0;
    lost = 0;
    double busiest = 0;
    for (int i = 0; i < seconds; i++) {
      runners.forEach(Runner::takeMean);
      runFor(1_000);
      double[] means = runners.stream().mapToDouble(Runner::takeMean).sorted().toArray();
      double sum = 0;
      for (double mean : means) {
        sum += mean;
      }
      busiest = Math.max(busiest, means[means.length - 1] * means.length / sum);
    }
    return new Result(
        busiest, (double) rejections / arrivals, p99(slotWaits), p99(eventWaits), lost);
  }

  private static double p99(List<Double> values) {
    return values.stream().sorted().skip((long) (values.size() * 0.99)).findFirst().orElseThrow();
  }

  // Time

  private record Event(double at, long sequence, Runnable action) {}

  private void at(double delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, sequence++, action));
  }

  private Instant now() {
    return Instant.EPOCH.plusNanos((long) (nowMillis * 1e6));
  }

  void runFor(double millis) {
    double end = nowMillis + millis;
    while (events.peek().at() <= end) {
      Event event = events.remove();
      nowMillis = event.at();
      event.action().run();
    }
    nowMillis = end;
  }

  // Requests

  private double nextArrival(double rate) {
    return -Math.log(1 - random.nextDouble()) / rate;
  }

  private void arrive(Node node, double rate) {
    at(nextArrival(rate), () -> arrive(node, rate));
    double skew = setup.skew();
    double millis = setup.meanMillis() * Math.exp(skew * random.nextGaussian() - skew * skew / 2);
    long number = ++sequence;
    ForwardRequest request =
        new ForwardRequest(
            number,
            "r" + number,
            "h",
            "/",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            true,
            (int) (millis / 5),
            (int) millis,
            List.of(),
            random.nextLong(),
            0,
            Optional.empty());
    PendingForward forward = PendingForward.of(request, route, SERVICE, Optional.empty(), now());
    node.waiting.add(new Job(node, forward, nowMillis, millis));
    drain(node);
  }

  private void tick(Node node) {
    at(TICK_MILLIS, () -> tick(node));
    drain(node);
  }

  private void drain(Node node) {
    while (!node.waiting.isEmpty() && trySend(node.waiting.getFirst())) {
      node.waiting.removeFirst();
    }
  }

  private boolean trySend(Job job) {
    final RunnerStateTable states = job.node.states;
    Optional<RunnerEntry> chosen =
        rule == Rule.PERFECT
            ? runners.stream()
                .filter(runner -> runner.up && runner.running < SLOTS)
                .min(Comparator.comparingInt(runner -> runner.running))
                .map(Runner::entry)
            : job.node.picker.choose(
                job.forward, configuration, id -> false, slots -> slots, now());
    if (chosen.isEmpty()) {
      return false;
    }
    Runner runner = runners.get(Integer.parseInt(chosen.get().id()));
    arrivals++;
    runner.arrivals++;
    LiveAttempt attempt = job.forward.send(chosen.get(), now());
    if (runner.running >= SLOTS || !runner.up) {
      rejections++;
      job.forward.endAttempt(attempt);
      job.forward.markRejected();
      states.recordRejection(chosen.get(), now());
      if (job.forward.rejections() == 6) {
        lost++;
      } else {
        at(30 << job.forward.rejections(), () -> job.node.waiting.add(job));
      }
      return true;
    }
    states.requestSent(runner.id, "", "", job.forward.tokens());
    runner.change(1);
    double read = job.millis / 50 * runner.pace;
    slotWaits.add(nowMillis - job.arrivedAt);
    eventWaits.add(nowMillis - job.arrivedAt + read);
    long born = runner.born;
    at(
        read,
        () -> {
          states.recordAcceptance(chosen.get());
          states.recordFirstEvent(
              chosen.get(), job.forward.request().promptTokens(), Duration.ofMillis((long) read));
        });
    at(
        job.millis * runner.pace,
        () -> {
          states.requestEnded(runner.id, "", "", job.forward.tokens());
          if (born == runner.born) {
            runner.change(-1);
          }
          drain(job.node);
        });
    return true;
  }

  // Figures

  private void report(Node node, double interval) {
    at(interval, () -> report(node, interval));
    List<RunnerUse> uses = node.states.collectUses(now());
    at(interval / 18, () -> reports.put(node, uses));
  }

  private void publish(double interval) {
    at(interval, () -> publish(interval));
    Map<String, Integer> running = new HashMap<>();
    reports.values().stream()
        .flatMap(List::stream)
        .forEach(use -> running.merge(use.runner(), use.running(), Integer::sum));
    List<RunnerView> views = new ArrayList<>();
    for (Runner runner : runners) {
      int count = running.getOrDefault(runner.id, 0);
      if (Math.abs(count - runner.published) > runner.published * setup.threshold()) {
        runner.published = count;
        views.add(new RunnerView(runner.id, runner.born, ++revision, List.of(), "", 0, count, 0));
      }
    }
    if (publishing) {
      at(interval / 18, () -> nodes.forEach(node -> node.states.accept(views, List.of(), now())));
    }
  }

  void updateDirectory() {
    List<RunnerEntry> entries =
        runners.stream().filter(runner -> runner.listed).map(Runner::entry).toList();
    LogPosition end = LogPosition.of(0, ++revision);
    directory.accept(
        new DirectoryChange(true, LogPosition.of(0, 0), end, entries, List.of()), now(), now());
  }

  private record Job(Node node, PendingForward forward, double arrivedAt, double millis) {}

  private final class Node {
    private final double weight;
    private final RunnerStateTable states = RunnerStateTable.create(directory);
    private final RunnerPicker picker;
    private final List<Job> waiting = new ArrayList<>();

    private Node(int index) {
      weight = 1 / Math.sqrt(index + 1);
      FleetPosition place = new FleetPosition(true, index, setup.nodes());
      LoadBalance balance = rule == Rule.NEW ? LoadBalance.EVEN : LoadBalance.LEAST;
      picker = RunnerPicker.create("a", balance, () -> place, states);
    }
  }

  /** A runner, whose pace and state a test may change. */
  final class Runner {
    private final String id;
    double pace;
    boolean up = true;
    boolean listed = true;
    int arrivals;
    private long born = 1;
    private int running;
    private int published;
    private double area;
    private double since;

    private Runner(int index, double pace) {
      id = Integer.toString(index);
      this.pace = pace;
    }

    /** Restarts the runner; its requests are gone. */
    void restart() {
      born++;
      change(-running);
      updateDirectory();
    }

    private RunnerEntry entry() {
      return new RunnerEntry(
          id, SERVICE, "h", 80, "a", SLOTS, false, born, 0, List.of(), Set.of(), Set.of());
    }

    private void change(int difference) {
      area += running * (nowMillis - since);
      since = nowMillis;
      running += difference;
    }

    /** Returns the mean number of requests since the last call. */
    private double takeMean() {
      change(0);
      double taken = area / 1_000;
      area = 0;
      return taken;
    }
  }
}
