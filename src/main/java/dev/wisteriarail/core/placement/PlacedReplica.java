package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Instant;

/**
 * A replica that holds a reservation.
 *
 * @param replica the replica
 * @param model its model
 * @param version the model's version
 * @param runner its runner
 * @param bytes reserved accelerator memory in bytes
 * @param phase its phase
 * @param activeRequests number of requests running on it
 * @param lastUsed when it last ran a request, or when its load was decided if it never ran one
 */
public record PlacedReplica(
    ReplicaId replica,
    ModelId model,
    String version,
    RunnerId runner,
    long bytes,
    PlacedPhase phase,
    int activeRequests,
    Instant lastUsed) {}
