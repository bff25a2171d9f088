package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.id.ModelId;
import java.time.Instant;
import java.util.Optional;

/** Knows the arrivals to come, as only a replay of a recorded trace can. */
public interface FutureArrivals {

  /** Returns when the next request for a model arrives after a point in time. */
  Optional<Instant> nextArrival(ModelId model, Instant after);
}
