package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Loads that an earlier holder of the lease began and that may be under way, so that the next one
 * does not order the same model again.
 *
 * <p>Not thread-safe.
 */
final class InheritedLoads {

  private final Map<String, Until> loads = new TreeMap<>();

  /** Begins anew with what a predecessor left. */
  void begin(List<LoadHistory.Loading> left, Instant now) {
    loads.clear();
    left.forEach(
        load -> loads.put(load.runner(), new Until(load, now.plusMillis(load.leftMillis()))));
  }

  /** Returns the load that may be under way on an engine. */
  Optional<LoadHistory.Loading> on(EngineState engine, Instant now) {
    Until until = loads.get(engine.runner());
    if (until == null
        || engine.models().containsKey(until.load().model())
        || !now.isBefore(until.at().plus(EngineState.REPORT_LAG))) {
      return Optional.empty();
    }
    long left = Math.max(0, Duration.between(now, until.at()).toMillis());
    LoadHistory.Loading load = until.load();
    return Optional.of(new LoadHistory.Loading(load.runner(), load.model(), load.source(), left));
  }

  private record Until(LoadHistory.Loading load, Instant at) {}
}
