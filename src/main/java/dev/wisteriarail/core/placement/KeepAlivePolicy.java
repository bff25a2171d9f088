package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.ModelId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides which idle replicas stay loaded, which are evicted first when memory is needed, and which
 * models are loaded ahead of demand (pre-warmed).
 *
 * <p>Implementations may keep history. Not thread-safe; owned by a planner.
 */
sealed interface KeepAlivePolicy permits ClairvoyantKeepAlive, HistoryKeepAlive, IdleTimeKeepAlive {

  /** Records requests that arrived for a model. */
  void recordArrivals(ModelId model, int count, Instant now);

  /** Prepares for a planning round at the round's time. */
  void startRound(PlanningRound round);

  /** Returns the reason to unload an idle replica now, or empty if it should stay loaded. */
  Optional<String> unloadReason(PlacedReplica replica, ModelSpec model, PlanningRound round);

  /** Returns the expected cold-start cost of evicting an idle replica, in seconds. */
  double evictionCostSeconds(PlacedReplica replica, ModelSpec model, PlanningRound round);

  /** Returns the reason to pre-warm a model that has no replica, or empty if it should not be. */
  Optional<String> preWarmReason(ModelSpec model, PlanningRound round);

  /** Returns whether {@link #preWarmReason} can ever return a reason. */
  boolean supportsPreWarming();

  /** Returns the time since a replica was last used. */
  static Duration idleTime(PlacedReplica replica, Instant now) {
    return Duration.between(replica.lastUsed(), now);
  }
}
