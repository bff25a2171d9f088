package dev.wisteriarail.core.peer;

import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.ModelId;
import java.time.Duration;
import java.util.Optional;

/**
 * What one node's callers want of one model.
 *
 * @param model the model
 * @param adapter the adapter, where one is asked for
 * @param urgency the most urgent class that waits
 * @param waiting requests that wait for a replica
 * @param inFlight requests that run
 * @param arrivals requests that arrived since the node's previous report
 * @param remaining time until the earliest deadline of the waiting ones
 */
public record Demand(
    ModelId model,
    Optional<AdapterId> adapter,
    Urgency urgency,
    int waiting,
    int inFlight,
    int arrivals,
    Duration remaining) {

  /** Returns the sum of two demands for the same model: counts added, the more urgent wins. */
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

  /** Returns the same demand with another count of arrivals. */
  public Demand withArrivals(int count) {
    return new Demand(model, adapter, urgency, waiting, inFlight, count, remaining);
  }
}
