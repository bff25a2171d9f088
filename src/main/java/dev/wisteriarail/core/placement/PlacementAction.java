package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;

/** One decision that a round of placement proposes. */
public sealed interface PlacementAction {

  /**
   * Loads a model on a runner.
   *
   * @param model the model
   * @param runner the runner
   * @param reason an English sentence with the figures it was decided on
   */
  record Load(ModelId model, RunnerId runner, String reason) implements PlacementAction {}

  /**
   * Unloads a replica.
   *
   * @param replica the replica
   * @param reason an English sentence with the figures it was decided on
   */
  record Unload(ReplicaId replica, String reason) implements PlacementAction {}
}
