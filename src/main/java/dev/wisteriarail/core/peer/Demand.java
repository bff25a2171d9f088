package dev.wisteriarail.core.peer;

import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.ModelId;
import java.time.Duration;
import java.util.Optional;

/**
 * Demand of one node's callers for one model.
 *
 * @param model the model
 * @param adapter the requested adapter, if any
 * @param urgency the highest urgency class of the waiting requests
 * @param waiting number of requests waiting for a replica
 * @param inFlight number of running requests
 * @param arrivals number of requests that arrived since the node's previous report
 * @param remaining time until the earliest deadline of the waiting requests
 */
public record Demand(
    ModelId model,
    Optional<AdapterId> adapter,
    Urgency urgency,
    int waiting,
    int inFlight,
    int arrivals,
    Duration remaining) {

  /**
   * Returns the combined demand for the same model: the sum of the counts, the higher urgency and
   * the earlier deadline.
   */
  public Demand plus(Demand other) {
    boolean moreUrgent = urgency.compareTo(other.urgency) <= 0;
    boolean earlier = remaining.compareTo(other.remaining) <= 0;
    return new Demand(
        model,
        adapter.or(other::adapter),
        moreUrgent ? urgency : other.urgency,
        waiting + other.waiting,
        inFlight + other.inFlight,
        arrivals + other.arrivals,
        earlier ? remaining : other.remaining);
  }

  /** Returns a copy with another number of arrivals. */
  public Demand withArrivals(int count) {
    return new Demand(model, adapter, urgency, waiting, inFlight, count, remaining);
  }
}
