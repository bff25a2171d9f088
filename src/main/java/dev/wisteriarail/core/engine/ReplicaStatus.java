package dev.wisteriarail.core.engine;

import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import java.util.List;

/**
 * Status of a replica, as reported by its engine.
 *
 * @param replica the replica
 * @param model its model
 * @param version the model's version
 * @param phase its phase
 * @param bytes accelerator memory that it holds, in bytes
 * @param activeRequests number of requests that it is running
 * @param adapters adapters loaded on it
 */
public record ReplicaStatus(
    ReplicaId replica,
    ModelId model,
    String version,
    ReplicaPhase phase,
    long bytes,
    int activeRequests,
    List<AdapterId> adapters) {

  /** Copies the list. */
  public ReplicaStatus {
    adapters = List.copyOf(adapters);
  }
}
