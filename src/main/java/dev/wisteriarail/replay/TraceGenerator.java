package dev.wisteriarail.replay;

import dev.wisteriarail.core.config.AdapterSpec;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Urgency;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates traces for a deployment. The same seed gives the same trace.
 *
 * <p>Each trace uses its own generator. Not thread-safe.
 */
public final class TraceGenerator {

  private static final long SECOND = 1_000;
  private static final long MINUTE = 60 * SECOND;
  private static final long HOUR = 60 * MINUTE;
  private static final int HOURS_PER_DAY = 24;

  /**
   * Request rate of each hour of the day relative to the mean: low at night, peaks in the morning
   * and at 16:00.
   */
  private static final double[] HOURLY_RATE_FACTORS = {
    0.15, 0.1, 0.1, 0.1, 0.15, 0.3, 0.7, 1.4, 2.1, 1.9, 1.5, 1.4,
    1.6, 1.5, 1.3, 1.6, 2.0, 1.8, 1.3, 0.9, 0.7, 0.5, 0.35, 0.2
  };

  private static final double MAX_RATE_FACTOR = 2.1;
  private static final double NON_REPEATABLE_SHARE = 0.04;
  private static final double BATCH_SHARE = 0.15;
  private static final double ADAPTER_SHARE = 0.4;

  private final Configuration configuration;
  private final SplittableRandom random;
  private final long lengthMs;
  private final long startMs;
  private final List<TraceLine> lines = new ArrayList<>();
  private final List<FaultLine> faults = new ArrayList<>();
  private final List<KindSpec> urgent;
  private final List<KindSpec> batch;
  private final List<KindSpec> nonRepeatable;
  private long lastKey;

  private TraceGenerator(Configuration configuration, long seed, int firstHour, int hours) {
    this.configuration = configuration;
    random = new SplittableRandom(seed);
    startMs = firstHour * HOUR;
    lengthMs = hours * HOUR;
    urgent = kinds(true, false);
    batch = kinds(true, true);
    nonRepeatable =
        configuration.kinds().values().stream().filter(kind -> !kind.repeatable()).toList();
  }

  /**
   * Generates a trace.
   *
   * @param scenario scenario to add to the ordinary day
   * @param seed seed of all random choices
   * @param firstHour hour of the day at which the trace starts; arrival times count from the
   *     preceding midnight
   * @param hours length of the trace in hours
   */
  public static GeneratedTrace generate(
      Configuration configuration, Scenario scenario, long seed, int firstHour, int hours) {
    TraceGenerator generator = new TraceGenerator(configuration, seed, firstHour, hours);
    generator.addOrdinaryDay();
    generator.addScenario(scenario);
    generator.lines.sort(Comparator.comparingLong(TraceLine::atMs));
    return new GeneratedTrace(generator.lines, generator.faults);
  }

  // Ordinary day

  private void addOrdinaryDay() {
    for (ModelSpec model : configuration.models().values()) {
      double share = random.nextDouble();
      if (share < 0.08) {
        addSessions(model, 12, 6, 25 * SECOND);
      } else if (share < 0.35) {
        addSessions(model, 1, 5, 20 * SECOND);
      } else if (share < 0.75) {
        addSessions(model, 0.12 + 0.2 * random.nextDouble(), 3, 30 * SECOND);
      } else if (share < 0.92) {
        addRegular(model);
      } else {
        addBursts(model);
      }
    }
  }

  /**
   * Adds sessions of a person's requests as a random process whose rate follows the time of day.
   */
  private void addSessions(
      ModelSpec model, double sessionsPerHour, int meanRequests, long meanGapMs) {
    double at = (double) startMs;
    while (true) {
      at += nextExponential(HOUR / (sessionsPerHour * MAX_RATE_FACTOR));
      if (at >= startMs + lengthMs) {
        return;
      }
      if (random.nextDouble() * MAX_RATE_FACTOR < rateFactor((long) at)) {
        addSession(model, (long) at, meanRequests, meanGapMs);
      }
    }
  }

  private void addSession(ModelSpec model, long startsAt, int meanRequests, long meanGapMs) {
    double at = (double) startsAt;
    do {
      addRequest(model, (long) at, pickKind());
      at += nextExponential((double) meanGapMs);
    } while (random.nextDouble() > 1.0 / meanRequests);
  }

  /** Adds requests of a program that runs at nearly fixed intervals. */
  private void addRegular(ModelSpec model) {
    long period = 20 * MINUTE + random.nextLong(100 * MINUTE);
    long at = startMs + random.nextLong(period);
    while (at < startMs + lengthMs) {
      int count = 2 + random.nextInt(5);
      for (int i = 0; i < count; i++) {
        addRequest(model, at + random.nextLong(5 * SECOND), pickKind());
      }
      at += period + random.nextLong(-period / 50, period / 50);
    }
  }

  /** Adds bursts at random times, four per day on average. */
  private void addBursts(ModelSpec model) {
    double burstsPerHour = 4.0 / HOURS_PER_DAY;
    double at = startMs + nextExponential(HOUR / burstsPerHour);
    while (at < startMs + lengthMs) {
      addBurst(model, (long) at, 12 + random.nextInt(40));
      at += nextExponential(HOUR / burstsPerHour);
    }
  }

  private void addBurst(ModelSpec model, long at, int count) {
    for (int i = 0; i < count; i++) {
      addRequest(model, at + random.nextLong(300), urgent.get(random.nextInt(urgent.size())));
    }
  }

  // Scenarios

  private void addScenario(Scenario scenario) {
    switch (scenario) {
      case BURSTS -> addHourlyBursts();
      case WEEKLY_PEAK -> addWeeklyPeak();
      case FLOOD -> addFlood();
      case LOG_OUTAGE ->
          faults.add(new FaultLine(middleMs(), HOUR / 2, FaultLine.LOG_OUTAGE, null, 0));
      case SLOW_STORE ->
          faults.add(new FaultLine(middleMs(), HOUR, FaultLine.SLOW_WEIGHT_STORE, null, 4));
      case RUNNERS_LOST -> addRunnerLosses();
      default -> {}
    }
  }

  private void addHourlyBursts() {
    List<ModelSpec> models = List.copyOf(configuration.models().values());
    for (long hour = startMs; hour < startMs + lengthMs; hour += HOUR) {
      long minute = hour + random.nextLong(HOUR - MINUTE);
      for (int i = 0; i < 10; i++) {
        ModelSpec model = models.get(random.nextInt(models.size()));
        addBurst(model, minute + random.nextLong(MINUTE), 8 + random.nextInt(24));
      }
    }
  }

  private void addWeeklyPeak() {
    for (ModelSpec model : configuration.models().values()) {
      int count = 1 + random.nextInt(5);
      for (int i = 0; i < count; i++) {
        long at = middleMs() + random.nextLong(Math.min(2 * HOUR, lengthMs / 2));
        addRequest(model, at, batch.get(random.nextInt(batch.size())));
      }
    }
  }

  private void addFlood() {
    CustomerSpec customer = configuration.customers().values().iterator().next();
    List<ModelSpec> models =
        configuration.models().values().stream()
            .filter(model -> model.customer().equals(customer.id()))
            .toList();
    long length = Duration.ofMinutes(1).toMillis();
    for (long at = 0; at < length; at += 50) {
      ModelSpec model = models.get(random.nextInt(models.size()));
      addRequest(model, middleMs() + at, pickKind());
    }
  }

  private void addRunnerLosses() {
    List<RunnerSpec> runners =
        configuration.runners().values().stream()
            .filter(runner -> runner.role() == RunnerRole.MODEL)
            .toList();
    int lost = Math.max(1, runners.size() / 3);
    for (int i = 0; i < lost; i++) {
      long at = startMs + lengthMs * (i + 1) / (lost + 1);
      faults.add(
          new FaultLine(at, 5 * MINUTE, FaultLine.RUNNER_LOST, runners.get(3 * i).id().value(), 0));
    }
  }

  private long middleMs() {
    return startMs + lengthMs / 2;
  }

  // Helpers

  private void addRequest(ModelSpec model, long atMs, KindSpec kind) {
    if (atMs >= startMs + lengthMs) {
      return;
    }
    String key = kind.repeatable() ? null : "k" + ++lastKey;
    lines.add(
        new TraceLine(
            atMs,
            model.customer().value(),
            model.id().value(),
            pickAdapter(model),
            kind.id().value(),
            key,
            50 + random.nextInt(600),
            20 + random.nextInt(kind.urgency() == Urgency.BATCH ? 500 : 160)));
  }

  private KindSpec pickKind() {
    double share = random.nextDouble();
    if (share < NON_REPEATABLE_SHARE && !nonRepeatable.isEmpty()) {
      return nonRepeatable.get(random.nextInt(nonRepeatable.size()));
    }
    List<KindSpec> kinds =
        share < NON_REPEATABLE_SHARE + BATCH_SHARE && !batch.isEmpty() ? batch : urgent;
    return kinds.get(random.nextInt(kinds.size()));
  }

  private String pickAdapter(ModelSpec model) {
    if (random.nextDouble() >= ADAPTER_SHARE) {
      return null;
    }
    List<AdapterSpec> adapters =
        configuration.adapters().values().stream()
            .filter(adapter -> adapter.model().equals(model.id()))
            .toList();
    return adapters.isEmpty() ? null : adapters.get(random.nextInt(adapters.size())).id().value();
  }

  private List<KindSpec> kinds(boolean repeatable, boolean isBatch) {
    return configuration.kinds().values().stream()
        .filter(kind -> kind.repeatable() == repeatable)
        .filter(kind -> (kind.urgency() == Urgency.BATCH) == isBatch)
        .toList();
  }

  private static double rateFactor(long atMs) {
    return HOURLY_RATE_FACTORS[(int) (atMs / HOUR % HOURS_PER_DAY)];
  }

  private double nextExponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }
}
