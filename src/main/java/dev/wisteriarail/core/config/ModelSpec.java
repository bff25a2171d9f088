package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import java.util.Comparator;
import java.util.List;

/**
 * Configuration of a model.
 *
 * @param id the model's identifier
 * @param customer the customer that may call it
 * @param version the version in force, for example {@code v1}
 * @param memoryBytes accelerator memory of one replica, in bytes
 * @param accelerators number of accelerators that one replica occupies
 * @param maxReplicas maximum number of replicas at a time
 * @param loadTimes expected load times by checkpoint tier
 * @param checkpoints the runners that hold the checkpoint; all others load from the weight store
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

  /** Returns a copy with another memory size. */
  public ModelSpec withMemoryBytes(long bytes) {
    return new ModelSpec(
        id, customer, version, bytes, accelerators, maxReplicas, loadTimes, checkpoints);
  }

  /** Returns the fastest checkpoint tier from which a runner can load the model. */
  public CheckpointTier tierOn(RunnerId runner) {
    return checkpoints.stream()
        .filter(location -> location.runner().equals(runner))
        .map(CheckpointLocation::tier)
        .min(Comparator.naturalOrder())
        .orElse(CheckpointTier.REMOTE);
  }
}
