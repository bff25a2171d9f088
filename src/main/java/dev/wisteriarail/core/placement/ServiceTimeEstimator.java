package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.peer.Demand;
import java.time.Duration;
import java.time.Instant;

/**
 * Estimates how long a request runs, from the requests in flight and the arrivals over time.
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

  /** Notes arrivals. */
  void recordArrivals(int count) {
    arrivals += count;
    if (arrivals > MAX_ARRIVALS) {
      arrivals /= 2;
      busySeconds /= 2;
    }
  }

  /** Counts the requests in flight over the time since the round before. */
  void startRound(PlanningRound round) {
    if (!lastRound.equals(Instant.MIN)) {
      double elapsedSeconds = Duration.between(lastRound, round.now()).toMillis() / 1_000.0;
      for (Demand demand : round.demands()) {
        busySeconds += demand.inFlight() * elapsedSeconds;
      }
    }
    lastRound = round.now();
  }

  /** Returns how long the requests beyond a number of slots have to wait. */
  double backlogSeconds(Demand demand, int slots) {
    int excess = demand.waiting() + demand.inFlight() - slots;
    return excess <= 0 || slots == 0 ? 0 : busySeconds / arrivals * excess / slots;
  }
}
