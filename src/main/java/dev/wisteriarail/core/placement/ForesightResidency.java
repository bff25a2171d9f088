package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.ModelId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Goes by the arrivals to come: loads a model just ahead of them, keeps it only where unloading and
 * loading it again would hold it longer, and evicts what is needed last.
 */
final class ForesightResidency implements Residency {

  private static final Duration MARGIN = Duration.ofSeconds(2);
  private static final double FAR_SECONDS = 1e9;

  private final Foresight foresight;

  private ForesightResidency(Foresight foresight) {
    this.foresight = foresight;
  }

  static ForesightResidency create(Foresight foresight) {
    return new ForesightResidency(foresight);
  }

  @Override
  public void recordArrivals(ModelId model, int count, Instant now) {}

  @Override
  public void startRound(Round round) {}

  @Override
  public Optional<String> expiry(PlacedReplica replica, ModelSpec model, Round round) {
    double reload = ColdStartCost.nearestLoad(model).toMillis() / 1_000.0;
    double next = secondsToNext(replica.model(), round.now());
    return next > reload + 2 * MARGIN.toSeconds()
        ? Optional.of("next request in " + Math.round(Math.min(next, FAR_SECONDS)) + " s")
        : Optional.empty();
  }

  @Override
  public double evictionSeconds(PlacedReplica replica, ModelSpec model, Round round) {
    return FAR_SECONDS / (1 + secondsToNext(replica.model(), round.now()));
  }

  @Override
  public Optional<String> preWarming(ModelSpec model, Round round) {
    Duration lead = ColdStartCost.nearestLoad(model).plus(MARGIN);
    return foresight
        .nextArrival(model.id(), round.now())
        .filter(next -> !next.isAfter(round.now().plus(lead)))
        .map(next -> "the next request arrives at " + next);
  }

  @Override
  public boolean preWarms() {
    return true;
  }

  private double secondsToNext(ModelId model, Instant now) {
    return foresight
        .nextArrival(model, now)
        .map(next -> Duration.between(now, next).toMillis() / 1_000.0)
        .orElse(FAR_SECONDS);
  }
}
