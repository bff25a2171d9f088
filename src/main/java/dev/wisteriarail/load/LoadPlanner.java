package dev.wisteriarail.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Turns a scenario into calls in order of their times. The same seed gives the same plan. */
public final class LoadPlanner {

  private static final double NANOS_PER_SECOND = 1e9;

  private final List<String> models;
  private final int targets;
  private final SplittableRandom random;
  private final List<PlannedCall> calls = new ArrayList<>();

  private LoadPlanner(List<String> models, int targets, long seed) {
    this.models = models;
    this.targets = targets;
    random = new SplittableRandom(seed);
  }

  /**
   * Returns the calls of a scenario.
   *
   * @param models models to ask, or services to call
   * @param targets number of targets
   */
  public static List<PlannedCall> plan(
      LoadScenario scenario, List<String> models, int targets, long seed) {
    LoadPlanner planner = new LoadPlanner(models, targets, seed);
    planner.add(scenario);
    planner.calls.sort(Comparator.comparing(PlannedCall::at));
    return List.copyOf(planner.calls);
  }

  private void add(LoadScenario scenario) {
    switch (scenario) {
      case LoadScenario.Steady steady -> addSteady(steady.requestsPerSecond(), steady.length(), 0);
      case LoadScenario.Burst burst -> addBursts(burst);
      case LoadScenario.Flood flood -> {
        addSteady(flood.requestsPerSecond(), flood.length(), 0);
        addSteady(flood.requestsPerSecond() * flood.factor(), flood.length(), 1);
      }
      case LoadScenario.Duplicate duplicate -> addPairs(duplicate);
    }
  }

  private void addSteady(double rate, Duration length, int caller) {
    for (Duration at = gap(rate); at.compareTo(length) < 0; at = at.plus(gap(rate))) {
      calls.add(new PlannedCall(at, anyTarget(), caller, anyModel(), Optional.empty()));
    }
  }

  private void addBursts(LoadScenario.Burst burst) {
    int turn = 0;
    for (Duration at = Duration.ZERO;
        at.compareTo(burst.length()) < 0;
        at = at.plus(burst.interval())) {
      String model = models.get(turn % models.size());
      for (int i = 0; i < burst.size(); i++) {
        calls.add(new PlannedCall(at, i % targets, 0, model, Optional.empty()));
      }
      turn++;
    }
  }

  private void addPairs(LoadScenario.Duplicate duplicate) {
    double rate = duplicate.requestsPerSecond();
    for (Duration at = gap(rate); at.compareTo(duplicate.length()) < 0; at = at.plus(gap(rate))) {
      Optional<String> key = Optional.of("load-" + Long.toHexString(random.nextLong()));
      int first = anyTarget();
      String model = anyModel();
      calls.add(new PlannedCall(at, first, 0, model, key));
      calls.add(new PlannedCall(at, (first + 1) % targets, 0, model, key));
    }
  }

  // Helpers

  private Duration gap(double rate) {
    double seconds = -Math.log1p(-random.nextDouble()) / rate;
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }

  private int anyTarget() {
    return random.nextInt(targets);
  }

  private String anyModel() {
    return models.get(random.nextInt(models.size()));
  }
}
