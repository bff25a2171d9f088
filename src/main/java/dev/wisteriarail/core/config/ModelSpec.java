package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import java.util.Comparator;
import java.util.List;

/**
 * One model as its team described it.
 *
 * @param id the model
 * @param customer the customer that may call it
 * @param version the version in force, for example {@code v1}
 * @param memoryBytes accelerator memory of one replica, in bytes
 * @param accelerators accelerators that one replica occupies
 * @param maxReplicas the most replicas that may be decided at a time
 * @param loadTimes expected load time by tier
 * @param checkpoints runners that hold the checkpoint; every other runner loads remotely
 */
public record ModelSpec(
    ModelId id,
    CustomerId customer,
    String version,
    long memoryBytes,
    int accelerators,
    int maxReplicas,
    LoadTimes loadTimes,
    List<CheckpointLocation> checkpoints) {

  /** Copies the list. */
  public ModelSpec {
    checkpoints = List.copyOf(checkpoints);
  }

  /** Returns the same model with another size in memory. */
  public ModelSpec withMemoryBytes(long bytes) {
    return new ModelSpec(
        id, customer, version, bytes, accelerators, maxReplicas, loadTimes, checkpoints);
  }

  /** Returns the nearest tier that a runner can load the model from. */
  public CheckpointTier tierOn(RunnerId runner) {
    return checkpoints.stream()
        .filter(place -> place.runner().equals(runner))
        .map(CheckpointLocation::tier)
        .min(Comparator.naturalOrder())
        .orElse(CheckpointTier.REMOTE);
  }
}
