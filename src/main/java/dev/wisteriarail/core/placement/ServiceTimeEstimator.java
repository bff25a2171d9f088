package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.peer.Demand;
import java.time.Duration;
import java.time.Instant;

/**
 * Estimates the mean service time of a request as the accumulated time of requests in flight
 * divided by the number of arrivals. Both are halved from time to time, so older data counts less.
 *
 * <p>Not thread-safe.
 */
final class ServiceTimeEstimator {

  private static final double INITIAL_SECONDS = 2;
  private static final double INITIAL_ARRIVALS = 50;
  private static final double MAX_ARRIVALS = 5_000;

  private double busySeconds = INITIAL_SECONDS * INITIAL_ARRIVALS;
  private double arrivals = INITIAL_ARRIVALS;
  private Instant lastRound = Instant.MIN;

  /** Records arrivals. */
  void recordArrivals(int count) {
    arrivals += count;
    if (arrivals > MAX_ARRIVALS) {
      arrivals /= 2;
      busySeconds /= 2;
    }
  }

  /** Adds the time of the requests in flight since the previous round. */
  void startRound(PlanningRound round) {
    if (!lastRound.equals(Instant.MIN)) {
      double elapsedSeconds = Duration.between(lastRound, round.now()).toMillis() / 1_000.0;
      for (Demand demand : round.demands()) {
        busySeconds += demand.inFlight() * elapsedSeconds;
      }
    }
    lastRound = round.now();
  }

  /** Returns the expected time to work off the requests that exceed a number of slots. */
  double backlogSeconds(Demand demand, int slots) {
    int excess = demand.waiting() + demand.inFlight() - slots;
    return excess <= 0 || slots == 0 ? 0 : busySeconds / arrivals * excess / slots;
  }
}
