package dev.wisteriarail.core.engine;

import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;

/**
 * An order of a cell's controller to an engine. It is sent with the controller's fencing number.
 */
public sealed interface EngineOrder {

  /**
   * Loads a replica.
   *
   * @param replica the replica to create; an engine that already has it does nothing
   * @param model its model
   * @param version the model's version
   * @param bytes accelerator memory reserved for it and its adapters, in bytes
   */
  record LoadReplica(ReplicaId replica, ModelId model, String version, long bytes)
      implements EngineOrder {}

  /**
   * Unloads a replica after its requests have finished.
   *
   * @param replica the replica to remove; an engine that does not have it does nothing
   */
  record UnloadReplica(ReplicaId replica) implements EngineOrder {}

  /**
   * Loads an adapter on a replica, within the memory reserved for the replica.
   *
   * @param replica the replica
   * @param adapter the adapter
   * @param bytes accelerator memory that the adapter needs, in bytes
   */
  record LoadAdapter(ReplicaId replica, AdapterId adapter, long bytes) implements EngineOrder {}

  /**
   * Unloads an adapter from a replica.
   *
   * @param replica the replica
   * @param adapter the adapter
   */
  record UnloadAdapter(ReplicaId replica, AdapterId adapter) implements EngineOrder {}

  /** Changes nothing but makes the engine record the order's fencing number. */
  record RaiseFence() implements EngineOrder {}
}
