package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.AdapterSpec;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.ModelId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Loads each model's adapters on its ready replicas, a bounded number in transit at a time.
 *
 * <p>The decision that loads a replica reserves the memory of its adapters too, so an adapter needs
 * no decision of its own; a lost answer is resolved by the engine's report. Not thread-safe; owned
 * by the node's core.
 */
final class AdapterLoader {

  private final CellLedger ledger;
  private final OrderBook orders;
  private final Sightings sightings;
  private final RunnerGates gates;

  AdapterLoader(CellLedger ledger, OrderBook orders, Sightings sightings, RunnerGates gates) {
    this.ledger = ledger;
    this.orders = orders;
    this.sightings = sightings;
    this.gates = gates;
  }

  /** Orders adapters that ready replicas lack. */
  void advance(Configuration configuration, Step step) {
    if (configuration.adapters().isEmpty()) {
      return;
    }
    long room = configuration.deployment().adapterTransits() - orders.adaptersInTransit();
    Map<ModelId, List<AdapterSpec>> byModel = byModel(configuration);
    for (Reservation held : ledger.reservations()) {
      if (room <= 0) {
        return;
      }
      for (AdapterSpec missing : missing(held, byModel.getOrDefault(held.model(), List.of()))) {
        if (room > 0 && orders.mayTryAdapter(held.replica(), missing.id(), step.now())) {
          send(held, missing, step);
          room--;
        }
      }
    }
  }

  private List<AdapterSpec> missing(Reservation held, List<AdapterSpec> wanted) {
    if (wanted.isEmpty() || held.unloading() || !gates.isRaised(held.runner())) {
      return List.of();
    }
    Optional<ReplicaStatus> ready =
        sightings
            .status(held.runner(), held.replica())
            .filter(status -> status.phase() == ReplicaPhase.READY);
    return ready.stream()
        .flatMap(status -> wanted.stream().filter(one -> !status.adapters().contains(one.id())))
        .toList();
  }

  private void send(Reservation held, AdapterSpec adapter, Step step) {
    orders.send(
        held.runner(),
        Optional.of(held.replica()),
        new EngineOrder.LoadAdapter(held.replica(), adapter.id(), adapter.memoryBytes()),
        ledger.fence(),
        step);
  }

  private static Map<ModelId, List<AdapterSpec>> byModel(Configuration configuration) {
    Map<ModelId, List<AdapterSpec>> byModel = new TreeMap<>();
    for (AdapterSpec adapter : configuration.adapters().values()) {
      byModel.computeIfAbsent(adapter.model(), model -> new ArrayList<>()).add(adapter);
    }
    return byModel;
  }
}
