package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.peer.Demand;
import java.time.Duration;
import java.time.Instant;

/**
 * Estimates how long a request runs, from the requests in flight and the arrivals over time.
 *
 * <p>Not thread-safe.
 */
final class ServiceTime {

  private static final double INITIAL_SECONDS = 2;
  private static final double INITIAL_ARRIVALS = 50;
  private static final double FULL_ARRIVALS = 5_000;

  private double busySeconds = INITIAL_SECONDS * INITIAL_ARRIVALS;
  private double arrivals = INITIAL_ARRIVALS;
  private Instant last = Instant.MIN;

  /** Notes arrivals. */
  void recordArrivals(int count) {
    arrivals += count;
    if (arrivals > FULL_ARRIVALS) {
      arrivals /= 2;
      busySeconds /= 2;
    }
  }

  /** Counts the requests in flight over the time since the round before. */
  void startRound(Round round) {
    if (!last.equals(Instant.MIN)) {
      double passed = Duration.between(last, round.now()).toMillis() / 1_000.0;
      for (Demand demand : round.demands()) {
        busySeconds += demand.inFlight() * passed;
      }
    }
    last = round.now();
  }

  /** Returns how long the requests beyond a number of slots have to wait. */
  double backlogSeconds(Demand demand, int slots) {
    int beyond = demand.waiting() + demand.inFlight() - slots;
    return beyond <= 0 || slots == 0 ? 0 : busySeconds / arrivals * beyond / slots;
  }
}
