package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import java.util.Optional;

/**
 * The runner, and for a model the replica, selected for a request.
 *
 * @param runner the runner
 * @param replica the replica; empty for a plain service
 */
public record Route(RunnerId runner, Optional<ReplicaId> replica) {}
