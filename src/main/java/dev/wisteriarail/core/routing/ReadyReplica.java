package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.RunnerId;

/**
 * A replica that takes requests.
 *
 * @param runner its runner
 * @param status what its engine last reported of it
 */
public record ReadyReplica(RunnerId runner, ReplicaStatus status) {}
