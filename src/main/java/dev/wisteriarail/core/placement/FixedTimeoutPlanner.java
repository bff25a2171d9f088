package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.id.ModelId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Loads a model on demand and unloads it after a fixed idle time.
 *
 * <p>If no runner has enough free memory, it unloads the least recently used idle replica.
 */
public final class FixedTimeoutPlanner implements PlacementPlanner {

  private final PlacementPlanner planner;

  private FixedTimeoutPlanner(Duration idleTimeout) {
    planner = PlacementPolicy.fixedTimeout(idleTimeout).planner();
  }

  /** Creates a planner that unloads a replica after the given idle time. */
  public static FixedTimeoutPlanner withTimeout(Duration idleTimeout) {
    return new FixedTimeoutPlanner(idleTimeout);
  }

  @Override
  public void recordArrivals(ModelId model, int count, Instant now) {
    planner.recordArrivals(model, count, now);
  }

  @Override
  public List<PlacementAction> plan(PlacementView view, Instant now) {
    return planner.plan(view, now);
  }
}
