package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.ModelId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Decides by the time since the last use alone, with or without a fixed idle timeout. */
final class IdleTimeKeepAlive implements KeepAlivePolicy {

  private static final double INITIAL_COST_SECONDS = 10;
  private static final double COST_HALVING_SECONDS = 60;

  private final Optional<Duration> idleTimeout;

  private IdleTimeKeepAlive(Optional<Duration> idleTimeout) {
    this.idleTimeout = idleTimeout;
  }

  static IdleTimeKeepAlive withTimeout(Duration idleTimeout) {
    return new IdleTimeKeepAlive(Optional.of(idleTimeout));
  }

  static IdleTimeKeepAlive withoutTimeout() {
    return new IdleTimeKeepAlive(Optional.empty());
  }

  @Override
  public void recordArrivals(ModelId model, int count, Instant now) {}

  @Override
  public void startRound(PlanningRound round) {}

  @Override
  public Optional<String> unloadReason(
      PlacedReplica replica, ModelSpec model, PlanningRound round) {
    return idleTimeout
        .filter(limit -> !round.now().isBefore(replica.lastUsed().plus(limit)))
        .map(limit -> "idle for the fixed timeout of " + limit.toSeconds() + " s");
  }

  @Override
  public double evictionCostSeconds(PlacedReplica replica, ModelSpec model, PlanningRound round) {
    double idle = KeepAlivePolicy.idleTime(replica, round.now()).toMillis() / 1_000.0;
    return INITIAL_COST_SECONDS / (1 + Math.max(0, idle) / COST_HALVING_SECONDS);
  }

  @Override
  public Optional<String> preWarmReason(ModelSpec model, PlanningRound round) {
    return Optional.empty();
  }

  @Override
  public boolean supportsPreWarming() {
    return false;
  }
}
