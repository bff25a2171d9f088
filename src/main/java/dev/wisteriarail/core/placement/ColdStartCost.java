package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.CheckpointLocation;
import dev.wisteriarail.core.config.CheckpointTier;
import dev.wisteriarail.core.config.DeploymentSpec;
import dev.wisteriarail.core.config.ModelSpec;
import java.time.Duration;
import java.util.Comparator;

/**
 * What a deployment would pay in idle accelerator time to spare a caller a cold start.
 *
 * <p>The worth grows faster than the load time, since the tail counts: one slow cold start weighs
 * more than several quick ones of the same sum.
 */
final class ColdStartCost {

  /** Load time of the reference cold start. */
  private static final double REFERENCE_LOAD_SECONDS = 10;

  /** Idle accelerator time that the reference cold start is worth at equal weights. */
  private static final double REFERENCE_IDLE_SECONDS = 600;

  /** Share of the worth that grows with the load time itself. */
  private static final double LINEAR_SHARE = 0.25;

  /** Power of the load time in the rest of a cold start's worth. */
  private static final double TAIL_EXPONENT = 3;

  private static final double MIN_WEIGHT = 0.01;

  private ColdStartCost() {}

  /** Returns the worth of a cold start, in idle accelerator seconds. */
  static double equivalentIdleSeconds(ModelSpec model, DeploymentSpec deployment) {
    double weight = Math.clamp(deployment.coldStartWeight(), MIN_WEIGHT, 1 - MIN_WEIGHT);
    double loadSeconds = fastestLoadTime(model).toMillis() / 1_000.0;
    double relativeLoad = loadSeconds / REFERENCE_LOAD_SECONDS;
    double relativeCost = LINEAR_SHARE * relativeLoad + Math.pow(relativeLoad, TAIL_EXPONENT);
    return REFERENCE_IDLE_SECONDS * relativeCost * weight / (1 - weight);
  }

  /** Returns the load time from the nearest tier that any runner has. */
  static Duration fastestLoadTime(ModelSpec model) {
    CheckpointTier nearestTier =
        model.checkpoints().stream()
            .map(CheckpointLocation::tier)
            .min(Comparator.naturalOrder())
            .orElse(CheckpointTier.REMOTE);
    return model.loadTimes().of(nearestTier);
  }
}
