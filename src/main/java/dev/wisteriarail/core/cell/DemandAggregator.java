package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.Demand;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Aggregates the demand that all nodes report, by model.
 *
 * <p>Life cycle: one per controller. Not thread-safe; owned by the node's core.
 */
final class DemandAggregator {

  private final Map<NodeId, List<Demand>> byNode = new TreeMap<>();

  /**
   * Replaces the demand of one node.
   *
   * @return whether requests are waiting there for a model for which none were waiting before
   */
  boolean update(NodeId node, List<Demand> demands) {
    List<Demand> previous = byNode.getOrDefault(node, List.of());
    byNode.put(node, demands);
    return demands.stream()
        .filter(demand -> demand.waiting() > 0)
        .anyMatch(
            demand ->
                previous.stream().noneMatch(previousDemand -> hadWaiting(previousDemand, demand)));
  }

  private static boolean hadWaiting(Demand previousDemand, Demand demand) {
    return previousDemand.model().equals(demand.model()) && previousDemand.waiting() > 0;
  }

  /** Removes the demand of nodes that do not match. */
  void retainNodes(Predicate<NodeId> live) {
    byNode.keySet().removeIf(live.negate());
  }

  /** Returns one entry per model, summed over all nodes. */
  List<Demand> merged() {
    Map<ModelId, Demand> merged = new TreeMap<>();
    for (List<Demand> demands : byNode.values()) {
      for (Demand demand : demands) {
        merged.merge(demand.model(), demand, Demand::plus);
      }
    }
    return List.copyOf(merged.values());
  }
}
