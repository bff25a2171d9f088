package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.id.ModelId;
import java.time.Instant;
import java.util.Optional;

/** Future request arrivals, which only the replay of a recorded trace can provide. */
public interface FutureArrivals {

  /** Returns the time of the first request for a model after a point in time, if there is one. */
  Optional<Instant> nextArrival(ModelId model, Instant after);
}
