package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.id.ModelId;
import java.time.Instant;
import java.util.List;

/**
 * Decides which models to load on which runners, and which replicas to unload.
 *
 * <p>A planner may keep history, such as arrival times. It is not thread-safe; the core of the
 * controller owns it. The controller checks every proposal against the reservations and limits
 * before it records the decision, so a wrong proposal can cost time but never overcommits memory.
 */
public interface PlacementPlanner {

  /** Records requests that arrived for a model. */
  void recordArrivals(ModelId model, int count, Instant now);

  /** Returns the proposed loads and unloads of one planning round. */
  List<PlacementAction> plan(PlacementView view, Instant now);
}
