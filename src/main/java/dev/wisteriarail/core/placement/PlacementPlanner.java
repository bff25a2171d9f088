package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.id.ModelId;
import java.time.Instant;
import java.util.List;

/**
 * Decides which models are loaded where and which replicas are unloaded.
 *
 * <p>A planner may keep history, such as arrival times. It is not thread-safe; the core of a
 * controller owns it. The controller checks every proposal against reservations and limits before
 * it records it, so a planner's mistake costs time and never memory.
 */
public interface PlacementPlanner {

  /** Notes requests that arrived for a model. */
  void recordArrivals(ModelId model, int count, Instant now);

  /** Proposes the decisions of one round. */
  List<PlacementAction> plan(PlacementView view, Instant now);
}
