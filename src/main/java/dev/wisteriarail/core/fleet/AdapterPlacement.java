package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.route.HostedModel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Decides which adapters are loaded on which engines, for one plan.
 *
 * <p>It is designed for a workload in which the most requested model has more adapters than its
 * engines have adapter slots, and the same engines keep swapping other models. An adapter loads in
 * milliseconds and a model in seconds, so adapters go first: queued behind the models of an engine
 * that is never idle, they waited for seconds. Each adapter is loaded on one engine, because a
 * second copy takes the slot of another adapter; it is loaded on a second engine only while the
 * first one has no free request slot.
 *
 * <p>Keeps no state between plans. Not thread-safe.
 */
final class AdapterPlacement {

  private final PlanInput input;
  private final Map<String, HostedModel> hostedModels;
  private final EngineCapacity capacity;
  private final Predicate<PlanInput.Engine> mayOrder;
  private final Set<String> requestedAdapters;

  private AdapterPlacement(
      PlanInput input, EngineCapacity capacity, Predicate<PlanInput.Engine> mayOrder) {
    this.input = input;
    this.capacity = capacity;
    this.mayOrder = mayOrder;
    hostedModels = capacity.hostedModels();
    requestedAdapters =
        input.adapterDemands().stream()
            .map(demand -> demand.model() + "/" + demand.adapter())
            .collect(Collectors.toSet());
  }

  /**
   * Returns the orders for adapters that requests are waiting for, at most one per engine.
   *
   * @param capacity the capacity of the engines
   * @param mayOrder whether an engine may receive such an order now
   */
  static List<Plan.PlannedOrder> orders(
      PlanInput input, EngineCapacity capacity, Predicate<PlanInput.Engine> mayOrder) {
    return new AdapterPlacement(input, capacity, mayOrder).orders();
  }

  private List<Plan.PlannedOrder> orders() {
    List<Plan.PlannedOrder> orders = new ArrayList<>();
    Set<String> assignedEngines = new HashSet<>();
    for (PlanInput.AdapterDemand demand : input.adapterDemands()) {
      if (!hostedModels.containsKey(demand.model()) || isServed(demand)) {
        continue;
      }
      input.engines().stream()
          .filter(engine -> engine.free() && !assignedEngines.contains(engine.runner()))
          .filter(mayOrder)
          .filter(engine -> engine.models().containsKey(demand.model()))
          .filter(engine -> !holds(engine, demand))
          .filter(engine -> !isFull(engine, demand) || evictableAdapter(engine).isPresent())
          .min(
              Comparator.comparingInt(AdapterPlacement::adapterCount)
                  .thenComparingInt(PlanInput.Engine::totalRunning))
          .ifPresent(
              engine -> {
                assignedEngines.add(engine.runner());
                orders.add(place(engine, demand));
              });
    }
    return orders;
  }

  private boolean isServed(PlanInput.AdapterDemand demand) {
    return input.engines().stream()
        .filter(engine -> engine.totalRunning() < input.spec().slots())
        .anyMatch(engine -> holds(engine, demand));
  }

  private static boolean holds(PlanInput.Engine engine, PlanInput.AdapterDemand demand) {
    return engine.models().getOrDefault(demand.model(), Set.of()).contains(demand.adapter());
  }

  private boolean isFull(PlanInput.Engine engine, PlanInput.AdapterDemand demand) {
    return !capacity.fits(
        new FleetOrder.LoadAdapter(demand.model(), demand.adapter()), engine.occupancy());
  }

  private static int adapterCount(PlanInput.Engine engine) {
    return engine.occupancy().values().stream().mapToInt(Set::size).sum();
  }

  /**
   * Returns an idle adapter to evict, if any. An adapter that was loaded recently does not count as
   * idle, so that the requests waiting for it can still arrive.
   */
  private Optional<String> evictableAdapter(PlanInput.Engine engine) {
    return engine.idleAdapters().stream()
        .filter(
            adapter ->
                !engine.adaptersInUse().contains(adapter) && !requestedAdapters.contains(adapter))
        .findFirst();
  }

  private Plan.PlannedOrder place(PlanInput.Engine engine, PlanInput.AdapterDemand demand) {
    if (!isFull(engine, demand)) {
      return new Plan.PlannedOrder(
          engine.runner(),
          new FleetOrder.LoadAdapter(demand.model(), demand.adapter()),
          "requests are waiting");
    }
    String victim = evictableAdapter(engine).orElseThrow();
    int slash = victim.indexOf('/');
    return new Plan.PlannedOrder(
        engine.runner(),
        new FleetOrder.UnloadAdapter(victim.substring(0, slash), victim.substring(slash + 1)),
        "frees capacity for " + demand.model() + "/" + demand.adapter());
  }
}
