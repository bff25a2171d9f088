package dev.wisteriarail.engine;

import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.ReplicaId;
import java.util.Optional;

/**
 * Body of the request that runs an attempt on an engine.
 *
 * @param replica the replica to run on
 * @param adapter the adapter to apply
 * @param resumeFrom number of chunks that the caller has already received
 * @param body the caller's request body
 */
public record EngineAttempt(
    ReplicaId replica, Optional<AdapterId> adapter, long resumeFrom, String body) {}
