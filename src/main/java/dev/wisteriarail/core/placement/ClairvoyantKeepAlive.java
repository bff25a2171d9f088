package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.ModelId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides from the known future arrivals: loads a model just before its next request, keeps it
 * loaded only if unloading and reloading it would take longer than the wait, and evicts first the
 * model whose next request is the furthest away.
 */
final class ClairvoyantKeepAlive implements KeepAlivePolicy {

  private static final Duration LEAD_MARGIN = Duration.ofSeconds(2);
  private static final double NO_ARRIVAL_SECONDS = 1e9;

  private final FutureArrivals futureArrivals;

  private ClairvoyantKeepAlive(FutureArrivals futureArrivals) {
    this.futureArrivals = futureArrivals;
  }

  static ClairvoyantKeepAlive create(FutureArrivals futureArrivals) {
    return new ClairvoyantKeepAlive(futureArrivals);
  }

  @Override
  public void recordArrivals(ModelId model, int count, Instant now) {}

  @Override
  public void startRound(PlanningRound round) {}

  @Override
  public Optional<String> unloadReason(
      PlacedReplica replica, ModelSpec model, PlanningRound round) {
    double reload = ColdStartCost.fastestLoadTime(model).toMillis() / 1_000.0;
    double secondsToNext = secondsToNextArrival(replica.model(), round.now());
    return secondsToNext > reload + 2 * LEAD_MARGIN.toSeconds()
        ? Optional.of(
            "next request in " + Math.round(Math.min(secondsToNext, NO_ARRIVAL_SECONDS)) + " s")
        : Optional.empty();
  }

  @Override
  public double evictionCostSeconds(PlacedReplica replica, ModelSpec model, PlanningRound round) {
    return NO_ARRIVAL_SECONDS / (1 + secondsToNextArrival(replica.model(), round.now()));
  }

  @Override
  public Optional<String> preWarmReason(ModelSpec model, PlanningRound round) {
    Duration lead = ColdStartCost.fastestLoadTime(model).plus(LEAD_MARGIN);
    return futureArrivals
        .nextArrival(model.id(), round.now())
        .filter(next -> !next.isAfter(round.now().plus(lead)))
        .map(next -> "the next request arrives at " + next);
  }

  @Override
  public boolean supportsPreWarming() {
    return true;
  }

  private double secondsToNextArrival(ModelId model, Instant now) {
    return futureArrivals
        .nextArrival(model, now)
        .map(next -> Duration.between(now, next).toMillis() / 1_000.0)
        .orElse(NO_ARRIVAL_SECONDS);
  }
}
