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
 * Loads each model's adapters on its ready replicas, with a bounded number of orders outstanding.
 *
 * <p>The decision that loads a replica also reserves the memory of its adapters, so loading an
 * adapter needs no decision of its own. If the answer to an order is lost, the engine's next report
 * shows whether the adapter is loaded.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class AdapterLoader {

  private final CellState cellState;
  private final OrderTracker orderTracker;
  private final ReportTracker reportTracker;
  private final RunnerEligibility eligibility;

  AdapterLoader(
      CellState cellState,
      OrderTracker orderTracker,
      ReportTracker reportTracker,
      RunnerEligibility eligibility) {
    this.cellState = cellState;
    this.orderTracker = orderTracker;
    this.reportTracker = reportTracker;
    this.eligibility = eligibility;
  }

  /** Sends load orders for adapters that are configured but missing on ready replicas. */
  void advance(Configuration configuration, Step step) {
    if (configuration.adapters().isEmpty()) {
      return;
    }
    long remaining =
        configuration.deployment().adapterTransits() - orderTracker.outstandingAdapterLoads();
    Map<ModelId, List<AdapterSpec>> byModel = byModel(configuration);
    for (Reservation reservation : cellState.reservations()) {
      if (remaining <= 0) {
        return;
      }
      for (AdapterSpec adapter :
          missing(reservation, byModel.getOrDefault(reservation.model(), List.of()))) {
        if (remaining > 0
            && orderTracker.maySendAdapterLoad(reservation.replica(), adapter.id(), step.now())) {
          send(reservation, adapter, step);
          remaining--;
        }
      }
    }
  }

  private List<AdapterSpec> missing(Reservation reservation, List<AdapterSpec> configured) {
    if (configured.isEmpty()
        || reservation.unloading()
        || !eligibility.hasAcceptedFence(reservation.runner())) {
      return List.of();
    }
    Optional<ReplicaStatus> ready =
        reportTracker
            .latestStatus(reservation.runner(), reservation.replica())
            .filter(status -> status.phase() == ReplicaPhase.READY);
    return ready.stream()
        .flatMap(
            status ->
                configured.stream().filter(adapter -> !status.adapters().contains(adapter.id())))
        .toList();
  }

  private void send(Reservation reservation, AdapterSpec adapter, Step step) {
    orderTracker.send(
        reservation.runner(),
        Optional.of(reservation.replica()),
        new EngineOrder.LoadAdapter(reservation.replica(), adapter.id(), adapter.memoryBytes()),
        cellState.fence(),
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
