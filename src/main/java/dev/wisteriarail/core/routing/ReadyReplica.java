package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.RunnerId;

/**
 * A replica and its last reported status.
 *
 * @param runner the runner that holds it
 * @param status its status in the runner's last report
 */
public record ReadyReplica(RunnerId runner, ReplicaStatus status) {}
