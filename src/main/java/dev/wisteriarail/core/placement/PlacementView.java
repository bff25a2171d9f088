package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.peer.Demand;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Input of a planning round.
 *
 * @param configuration the configuration in force
 * @param demands the demand of all nodes, merged to one entry per model
 * @param replicas all replicas that hold a reservation
 * @param freeBytes unreserved accelerator memory in bytes of each runner that may get new work
 */
public record PlacementView(
    Configuration configuration,
    List<Demand> demands,
    List<PlacedReplica> replicas,
    Map<RunnerId, Long> freeBytes) {

  /** Copies the collections. */
  public PlacementView {
    demands = List.copyOf(demands);
    replicas = List.copyOf(replicas);
    freeBytes = Collections.unmodifiableMap(new TreeMap<>(freeBytes));
  }
}
