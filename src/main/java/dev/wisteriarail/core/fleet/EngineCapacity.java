package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.HostedModel;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Capacity of the engines of a service, and how much of it models and adapters occupy.
 *
 * <p>An engine's occupancy is given as a map from model to the adapters of that model. Immutable.
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

  /** Returns the capacity of the engines of a service. */
  static EngineCapacity of(EngineSpec spec) {
    return new EngineCapacity(spec);
  }

  /** Returns the models of the service by name. */
  Map<String, HostedModel> hostedModels() {
    return hostedModels;
  }

  /**
   * Returns the memory of a model. A model that the service no longer lists counts as filling an
   * entire engine.
   */
  double megabytes(String model) {
    return Optional.ofNullable(hostedModels.get(model))
        .map(HostedModel::megabytes)
        .orElse(spec.weightMegabytes());
  }

  /** Returns the free memory of an engine with the given occupancy. */
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

  /** Returns the free adapter slots of an engine with the given occupancy. */
  int freeAdapterSlots(Map<String, Set<String>> occupancy) {
    return spec.adapterSlots() - occupancy.values().stream().mapToInt(Set::size).sum();
  }

  /** Returns whether an order fits into the free capacity of an engine with the given occupancy. */
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
