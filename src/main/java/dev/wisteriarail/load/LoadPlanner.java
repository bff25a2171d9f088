package dev.wisteriarail.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Expands a load scenario into calls, sorted by start time. The same seed gives the same plan. Not
 * thread-safe.
 */
public final class LoadPlanner {

  private static final double NANOS_PER_SECOND = 1e9;

  private final List<String> models;
  private final int targetCount;
  private final SplittableRandom random;
  private final List<PlannedCall> calls = new ArrayList<>();

  private LoadPlanner(List<String> models, int targets, long seed) {
    this.models = models;
    this.targetCount = targets;
    random = new SplittableRandom(seed);
  }

  /**
   * Returns the calls of a scenario, sorted by start time.
   *
   * @param models models or services to call
   * @param targets number of target nodes
   */
  public static List<PlannedCall> plan(
      LoadScenario scenario, List<String> models, int targets, long seed) {
    LoadPlanner planner = new LoadPlanner(models, targets, seed);
    planner.addScenario(scenario);
    planner.calls.sort(Comparator.comparing(PlannedCall::startOffset));
    return List.copyOf(planner.calls);
  }

  private void addScenario(LoadScenario scenario) {
    switch (scenario) {
      case LoadScenario.Steady steady ->
          addSteady(steady.requestsPerSecond(), steady.duration(), 0);
      case LoadScenario.Burst burst -> addBursts(burst);
      case LoadScenario.Flood flood -> {
        addSteady(flood.requestsPerSecond(), flood.duration(), 0);
        addSteady(flood.requestsPerSecond() * flood.factor(), flood.duration(), 1);
      }
      case LoadScenario.Duplicate duplicate -> addDuplicates(duplicate);
    }
  }

  private void addSteady(double rate, Duration duration, int caller) {
    for (Duration startOffset = nextInterArrivalTime(rate);
        startOffset.compareTo(duration) < 0;
        startOffset = startOffset.plus(nextInterArrivalTime(rate))) {
      calls.add(
          new PlannedCall(startOffset, randomTarget(), caller, randomModel(), Optional.empty()));
    }
  }

  private void addBursts(LoadScenario.Burst burst) {
    int burstIndex = 0;
    for (Duration startOffset = Duration.ZERO;
        startOffset.compareTo(burst.duration()) < 0;
        startOffset = startOffset.plus(burst.interval())) {
      String model = models.get(burstIndex % models.size());
      for (int i = 0; i < burst.size(); i++) {
        calls.add(new PlannedCall(startOffset, i % targetCount, 0, model, Optional.empty()));
      }
      burstIndex++;
    }
  }

  private void addDuplicates(LoadScenario.Duplicate duplicate) {
    double rate = duplicate.requestsPerSecond();
    for (Duration startOffset = nextInterArrivalTime(rate);
        startOffset.compareTo(duplicate.duration()) < 0;
        startOffset = startOffset.plus(nextInterArrivalTime(rate))) {
      Optional<String> key = Optional.of("load-" + Long.toHexString(random.nextLong()));
      int first = randomTarget();
      String model = randomModel();
      calls.add(new PlannedCall(startOffset, first, 0, model, key));
      calls.add(new PlannedCall(startOffset, (first + 1) % targetCount, 0, model, key));
    }
  }

  // Helpers

  private Duration nextInterArrivalTime(double rate) {
    double seconds = -Math.log1p(-random.nextDouble()) / rate;
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }

  private int randomTarget() {
    return random.nextInt(targetCount);
  }

  private String randomModel() {
    return models.get(random.nextInt(models.size()));
  }
}
