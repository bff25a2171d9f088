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
final class RoomRules {

  private final EngineSpec spec;
  private final Map<String, HostedModel> hosted;

  private RoomRules(EngineSpec spec) {
    this.spec = spec;
    hosted =
        spec.models().stream()
            .collect(Collectors.toMap(HostedModel::name, Function.identity(), (a, b) -> a));
  }

  /** Returns the rules of a service. */
  static RoomRules of(EngineSpec spec) {
    return new RoomRules(spec);
  }

  /** Returns the models of the service by name. */
  Map<String, HostedModel> hosted() {
    return hosted;
  }

  /** Returns the memory of a model; one that the service no longer names fills a whole engine. */
  double megabytes(String model) {
    return Optional.ofNullable(hosted.get(model))
        .map(HostedModel::megabytes)
        .orElse(spec.weightMegabytes());
  }

  /** Returns the memory that is left beside what takes room. */
  double freeMegabytes(Map<String, Set<String>> room) {
    double used = 0;
    for (Map.Entry<String, Set<String>> taken : room.entrySet()) {
      used +=
          megabytes(taken.getKey()) + taken.getValue().size() * adapterMegabytes(taken.getKey());
    }
    return spec.weightMegabytes() - used;
  }

  private double adapterMegabytes(String model) {
    HostedModel known = hosted.get(model);
    return known == null ? 0 : known.adapterMegabytes();
  }

  /** Returns the places for adapters that are left beside what takes room. */
  int freePlaces(Map<String, Set<String>> room) {
    return spec.adapterSlots() - room.values().stream().mapToInt(Set::size).sum();
  }

  /** Returns whether an order asks for no more than fits beside what takes room. */
  boolean allow(FleetOrder order, Map<String, Set<String>> room) {
    return switch (order) {
      case FleetOrder.LoadModel load ->
          room.containsKey(load.model()) || megabytes(load.model()) <= freeMegabytes(room);
      case FleetOrder.LoadAdapter load ->
          room.getOrDefault(load.model(), Set.of()).contains(load.adapter())
              || (freePlaces(room) > 0 && adapterMegabytes(load.model()) <= freeMegabytes(room));
      case FleetOrder.UnloadModel unload -> true;
      case FleetOrder.UnloadAdapter unload -> true;
    };
  }
}
