package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.CheckpointLocation;
import dev.wisteriarail.core.config.CheckpointTier;
import dev.wisteriarail.core.config.DeploymentSpec;
import dev.wisteriarail.core.config.ModelSpec;
import java.time.Duration;
import java.util.Comparator;

/**
 * Converts a cold start into the idle accelerator time that a deployment accepts to avoid it.
 *
 * <p>The cost grows faster than the load time because tail latency matters: one slow cold start
 * costs more than several fast ones with the same total load time.
 */
final class ColdStartCost {

  /** Load time of the reference cold start. */
  private static final double REFERENCE_LOAD_SECONDS = 10;

  /** Idle accelerator time equivalent to the reference cold start, at equal weights. */
  private static final double REFERENCE_IDLE_SECONDS = 600;

  /** Factor of the part of the cost that is linear in the load time. */
  private static final double LINEAR_SHARE = 0.25;

  /** Exponent of the load time in the remaining part of the cost. */
  private static final double TAIL_EXPONENT = 3;

  private static final double MIN_WEIGHT = 0.01;

  private ColdStartCost() {}

  /** Returns the cost of a cold start, in idle accelerator seconds. */
  static double equivalentIdleSeconds(ModelSpec model, DeploymentSpec deployment) {
    double weight = Math.clamp(deployment.coldStartWeight(), MIN_WEIGHT, 1 - MIN_WEIGHT);
    double loadSeconds = fastestLoadTime(model).toMillis() / 1_000.0;
    double relativeLoad = loadSeconds / REFERENCE_LOAD_SECONDS;
    double relativeCost = LINEAR_SHARE * relativeLoad + Math.pow(relativeLoad, TAIL_EXPONENT);
    return REFERENCE_IDLE_SECONDS * relativeCost * weight / (1 - weight);
  }

  /** Returns the load time from the fastest checkpoint tier available on any runner. */
  static Duration fastestLoadTime(ModelSpec model) {
    CheckpointTier nearestTier =
        model.checkpoints().stream()
            .map(CheckpointLocation::tier)
            .min(Comparator.naturalOrder())
            .orElse(CheckpointTier.REMOTE);
    return model.loadTimes().of(nearestTier);
  }
}
