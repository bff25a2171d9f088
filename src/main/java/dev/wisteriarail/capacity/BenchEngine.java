package dev.wisteriarail.capacity;

import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ReplicaId;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A simulated engine that never fails and completes loads immediately. Not thread-safe. */
final class BenchEngine {

  private final RunnerSpec spec;
  private final Map<ReplicaId, ReplicaStatus> replicas = new TreeMap<>();
  private FencingNumber highestFence = FencingNumber.NONE;
  private int activeAttempts;

  BenchEngine(RunnerSpec spec) {
    this.spec = spec;
  }

  /** Executes an order. A loaded replica is ready from the next report on. */
  void execute(FencingNumber fence, EngineOrder order) {
    highestFence = fence.compareTo(highestFence) > 0 ? fence : highestFence;
    switch (order) {
      case EngineOrder.LoadReplica load ->
          replicas.put(
              load.replica(),
              new ReplicaStatus(
                  load.replica(),
                  load.model(),
                  load.version(),
                  ReplicaPhase.READY,
                  load.bytes(),
                  0,
                  List.of()));
      case EngineOrder.UnloadReplica unload -> replicas.remove(unload.replica());
      default -> {}
    }
  }

  void attemptStarted() {
    activeAttempts++;
  }

  void attemptEnded() {
    activeAttempts--;
  }

  EngineReport report() {
    long used = replicas.values().stream().mapToLong(ReplicaStatus::bytes).sum();
    return new EngineReport(
        spec.id(),
        Incarnation.of(1),
        highestFence,
        false,
        activeAttempts,
        0,
        used,
        List.copyOf(replicas.values()));
  }

  RunnerSpec spec() {
    return spec;
  }
}
