package dev.wisteriarail.replay;

import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.placement.FutureArrivals;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/** The arrivals of a trace as known in advance. Immutable once built; thread-safe. */
public final class TraceArrivals implements FutureArrivals {

  private final Map<ModelId, TreeSet<Instant>> arrivals = new HashMap<>();

  private TraceArrivals() {}

  /** Returns the arrivals of a trace. */
  static TraceArrivals of(List<TraceLine> trace) {
    TraceArrivals result = new TraceArrivals();
    for (TraceLine line : trace) {
      result
          .arrivals
          .computeIfAbsent(ModelId.of(line.model()), id -> new TreeSet<>())
          .add(VirtualTime.instantOf(line.atMs()));
    }
    return result;
  }

  @Override
  public Optional<Instant> nextArrival(ModelId model, Instant after) {
    TreeSet<Instant> times = arrivals.get(model);
    return times == null ? Optional.empty() : Optional.ofNullable(times.higher(after));
  }
}
