package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;

/** A load or unload that a planning round proposes. */
public sealed interface PlacementAction {

  /**
   * Loads a model on a runner.
   *
   * @param model the model
   * @param runner the runner
   * @param reason human-readable reason with the figures behind the decision
   */
  record Load(ModelId model, RunnerId runner, String reason) implements PlacementAction {}

  /**
   * Unloads a replica.
   *
   * @param replica the replica
   * @param reason human-readable reason with the figures behind the decision
   */
  record Unload(ReplicaId replica, String reason) implements PlacementAction {}
}
