package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import java.util.Optional;

/**
 * Where to run a request.
 *
 * @param runner the runner
 * @param replica the replica, for a model
 */
public record Route(RunnerId runner, Optional<ReplicaId> replica) {}
