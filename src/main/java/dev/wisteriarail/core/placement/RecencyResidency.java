package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.ModelId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Goes by the time of last use alone, with or without a fixed idle time-out. */
final class RecencyResidency implements Residency {

  private static final double FRESH_COST_SECONDS = 10;
  private static final double HALVING_SECONDS = 60;

  private final Optional<Duration> idleTimeout;

  private RecencyResidency(Optional<Duration> idleTimeout) {
    this.idleTimeout = idleTimeout;
  }

  static RecencyResidency withTimeout(Duration idleTimeout) {
    return new RecencyResidency(Optional.of(idleTimeout));
  }

  static RecencyResidency withoutTimeout() {
    return new RecencyResidency(Optional.empty());
  }

  @Override
  public void recordArrivals(ModelId model, int count, Instant now) {}

  @Override
  public void startRound(Round round) {}

  @Override
  public Optional<String> expiry(PlacedReplica replica, ModelSpec model, Round round) {
    return idleTimeout
        .filter(limit -> !round.now().isBefore(replica.lastUsed().plus(limit)))
        .map(limit -> "idle for the fixed time-out of " + limit.toSeconds() + " s");
  }

  @Override
  public double evictionSeconds(PlacedReplica replica, ModelSpec model, Round round) {
    double idle = Residency.idleTime(replica, round.now()).toMillis() / 1_000.0;
    return FRESH_COST_SECONDS / (1 + Math.max(0, idle) / HALVING_SECONDS);
  }

  @Override
  public Optional<String> preWarming(ModelSpec model, Round round) {
    return Optional.empty();
  }

  @Override
  public boolean preWarms() {
    return false;
  }
}
