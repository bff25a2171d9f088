package dev.wisteriarail.fuzz.oracle;

import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.RecordBody;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that no model has more replicas than allowed.
 *
 * <p>A replica is on one runner, and a model never has more replicas than the greatest limit that
 * was in force within the last seconds.
 */
final class ReplicaCheck implements Check {

  /** Time within which a published limit is in force on all nodes. */
  private static final Duration IN_FORCE = Duration.ofSeconds(10);

  private record Limit(Instant at, int maxReplicas) {}

  private record Location(RunnerId runner, ModelId model) {}

  private final AcceptedChanges changes = new AcceptedChanges();
  private final Map<ModelId, Deque<Limit>> limits = new TreeMap<>();
  private final Map<ReplicaId, Location> held = new TreeMap<>();

  @Override
  public String name() {
    return "replicas";
  }

  @Override
  public void observe(Instant at, Observation observation, ViolationReporter reporter) {
    switch (observation) {
      case Observation.RecordAppended appended -> {
        if (changes.accept(appended.logged())
            && appended.logged().body() instanceof RecordBody.ConfigurationChanged change) {
          change.section().models().forEach(model -> addLimit(at, model));
        }
      }
      case Observation.ReplicaHeld replicaHeld -> acceptHeld(at, replicaHeld, reporter);
      case Observation.ReplicaFreed freed -> {
        Location place = held.get(freed.replica());
        if (place != null && place.runner().equals(freed.runner())) {
          held.remove(freed.replica());
        }
      }
      default -> {}
    }
  }

  private void addLimit(Instant at, ModelSpec model) {
    Deque<Limit> modelLimits = limits.computeIfAbsent(model.id(), id -> new ArrayDeque<>());
    modelLimits.addLast(new Limit(at, model.maxReplicas()));
  }

  private void acceptHeld(
      Instant at, Observation.ReplicaHeld replicaHeld, ViolationReporter reporter) {
    Location before =
        held.put(replicaHeld.replica(), new Location(replicaHeld.runner(), replicaHeld.model()));
    if (before != null && !before.runner().equals(replicaHeld.runner())) {
      reporter.report(
          replicaHeld.replica() + " is on " + before.runner() + " and on " + replicaHeld.runner());
    }
    long count = held.values().stream().filter(p -> p.model().equals(replicaHeld.model())).count();
    int maxReplicas = greatestLimit(at, replicaHeld.model());
    if (count > maxReplicas) {
      reporter.report(
          "model "
              + replicaHeld.model()
              + " has "
              + count
              + " replicas, at most "
              + maxReplicas
              + ": "
              + held.entrySet().stream()
                  .filter(entry -> entry.getValue().model().equals(replicaHeld.model()))
                  .map(entry -> entry.getKey() + "@" + entry.getValue().runner())
                  .toList());
    }
  }

  private int greatestLimit(Instant at, ModelId model) {
    Deque<Limit> modelLimits = limits.getOrDefault(model, new ArrayDeque<>());
    while (modelLimits.size() > 1 && hasExpired(modelLimits, at)) {
      modelLimits.removeFirst();
    }
    return modelLimits.stream().mapToInt(Limit::maxReplicas).max().orElse(0);
  }

  private static boolean hasExpired(Deque<Limit> modelLimits, Instant at) {
    Instant replaced = modelLimits.stream().skip(1).findFirst().orElseThrow().at();
    return replaced.plus(IN_FORCE).isBefore(at);
  }
}
