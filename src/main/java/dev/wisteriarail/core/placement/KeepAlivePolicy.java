package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.ModelId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides which idle replicas stay, which go first where room is needed, and which models are
 * loaded ahead of demand.
 *
 * <p>May keep history. Not thread-safe; owned by a planner.
 */
sealed interface KeepAlivePolicy permits ClairvoyantKeepAlive, HistoryKeepAlive, IdleTimeKeepAlive {

  /** Notes requests that arrived for a model. */
  void recordArrivals(ModelId model, int count, Instant now);

  /** Notes the weights and the time of the round that begins. */
  void startRound(PlanningRound round);

  /** Returns why an idle replica should go now; empty where it stays. */
  Optional<String> unloadReason(PlacedReplica replica, ModelSpec model, PlanningRound round);

  /** Returns the expected cost of the next cold start if an idle replica goes, in seconds. */
  double evictionCostSeconds(PlacedReplica replica, ModelSpec model, PlanningRound round);

  /** Returns why a model without a replica should be loaded ahead of demand; mostly empty. */
  Optional<String> preWarmReason(ModelSpec model, PlanningRound round);

  /** Returns whether {@link #preWarmReason} may ever answer. */
  boolean supportsPreWarming();

  /** Returns the time that a replica has been idle. */
  static Duration idleTime(PlacedReplica replica, Instant now) {
    return Duration.between(replica.lastUsed(), now);
  }
}
