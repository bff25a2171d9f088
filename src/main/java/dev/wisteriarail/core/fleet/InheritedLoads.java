package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Loads that an earlier lease holder started and that may still be in progress, so that its
 * successor does not order the same model again.
 *
 * <p>Not thread-safe.
 */
final class InheritedLoads {

  private final Map<String, ExpectedLoad> loads = new TreeMap<>();

  /** Replaces all loads with those handed over by a predecessor. */
  void replaceAll(List<LoadHistory.Loading> newLoads, Instant now) {
    loads.clear();
    newLoads.forEach(
        load ->
            loads.put(load.runner(), new ExpectedLoad(load, now.plusMillis(load.leftMillis()))));
  }

  /** Returns the load that may be in progress on an engine. */
  Optional<LoadHistory.Loading> find(EngineState engine, Instant now) {
    ExpectedLoad expected = loads.get(engine.runner());
    if (expected == null
        || engine.models().containsKey(expected.load().model())
        || !now.isBefore(expected.doneAt().plus(EngineState.REPORT_LAG))) {
      return Optional.empty();
    }
    long remainingMillis = Math.max(0, Duration.between(now, expected.doneAt()).toMillis());
    LoadHistory.Loading load = expected.load();
    return Optional.of(
        new LoadHistory.Loading(load.runner(), load.model(), load.source(), remainingMillis));
  }

  private record ExpectedLoad(LoadHistory.Loading load, Instant doneAt) {}
}
