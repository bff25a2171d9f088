package dev.wisteriarail.replay;

import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.placement.Foresight;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/** Knows the arrivals of a trace. Immutable once built; thread-safe. */
public final class TraceForesight implements Foresight {

  private final Map<ModelId, TreeSet<Instant>> arrivals = new HashMap<>();

  private TraceForesight() {}

  /** Returns the foresight of a trace. */
  static TraceForesight of(List<TraceLine> trace) {
    TraceForesight foresight = new TraceForesight();
    for (TraceLine line : trace) {
      foresight
          .arrivals
          .computeIfAbsent(ModelId.of(line.model()), id -> new TreeSet<>())
          .add(VirtualTime.instantOf(line.atMs()));
    }
    return foresight;
  }

  @Override
  public Optional<Instant> nextArrival(ModelId model, Instant after) {
    TreeSet<Instant> times = arrivals.get(model);
    return times == null ? Optional.empty() : Optional.ofNullable(times.higher(after));
  }
}
