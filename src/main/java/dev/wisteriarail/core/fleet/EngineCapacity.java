package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.HostedModel;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * How much room the engines of a service have, and what takes how much of it.
 *
 * <p>What takes room is given by model, with the adapters of each. Immutable.
 */
final class EngineCapacity {

  private final EngineSpec spec;
  private final Map<String, HostedModel> hostedModels;

  private EngineCapacity(EngineSpec spec) {
    this.spec = spec;
    hostedModels =
        spec.models().stream()
            .collect(Collectors.toMap(HostedModel::name, Function.identity(), (a, b) -> a));
  }

  /** Returns the rules of a service. */
  static EngineCapacity of(EngineSpec spec) {
    return new EngineCapacity(spec);
  }

  /** Returns the models of the service by name. */
  Map<String, HostedModel> hostedModels() {
    return hostedModels;
  }

  /** Returns the memory of a model; one that the service no longer names fills a whole engine. */
  double megabytes(String model) {
    return Optional.ofNullable(hostedModels.get(model))
        .map(HostedModel::megabytes)
        .orElse(spec.weightMegabytes());
  }

  /** Returns the memory that is left beside what takes room. */
  double freeMegabytes(Map<String, Set<String>> occupancy) {
    double used = 0;
    for (Map.Entry<String, Set<String>> occupant : occupancy.entrySet()) {
      used +=
          megabytes(occupant.getKey())
              + occupant.getValue().size() * adapterMegabytes(occupant.getKey());
    }
    return spec.weightMegabytes() - used;
  }

  private double adapterMegabytes(String model) {
    HostedModel known = hostedModels.get(model);
    return known == null ? 0 : known.adapterMegabytes();
  }

  /** Returns the places for adapters that are left beside what takes room. */
  int freeAdapterSlots(Map<String, Set<String>> occupancy) {
    return spec.adapterSlots() - occupancy.values().stream().mapToInt(Set::size).sum();
  }

  /** Returns whether an order asks for no more than fits beside what takes room. */
  boolean fits(FleetOrder order, Map<String, Set<String>> occupancy) {
    return switch (order) {
      case FleetOrder.LoadModel load ->
          occupancy.containsKey(load.model())
              || megabytes(load.model()) <= freeMegabytes(occupancy);
      case FleetOrder.LoadAdapter load ->
          occupancy.getOrDefault(load.model(), Set.of()).contains(load.adapter())
              || (freeAdapterSlots(occupancy) > 0
                  && adapterMegabytes(load.model()) <= freeMegabytes(occupancy));
      case FleetOrder.UnloadModel unload -> true;
      case FleetOrder.UnloadAdapter unload -> true;
    };
  }
}
