package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.RunnerId;

/**
 * Location of a model checkpoint on a runner.
 *
 * @param runner the runner that holds it
 * @param tier the tier on that runner, {@link CheckpointTier#MEMORY} or {@link CheckpointTier#DISK}
 */
public record CheckpointLocation(RunnerId runner, CheckpointTier tier) {}
