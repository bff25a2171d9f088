package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.peer.Demand;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a round of placement decides from.
 *
 * @param configuration the configuration in force
 * @param demands what callers want, merged over all nodes, one entry a model
 * @param replicas all replicas that hold a reservation
 * @param freeBytes unreserved accelerator memory in bytes, for each runner that may get new work
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
