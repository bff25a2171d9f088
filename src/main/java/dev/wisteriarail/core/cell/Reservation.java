package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;

/**
 * Accelerator memory that is reserved on a runner by the decision to load a replica.
 *
 * @param replica the replica
 * @param model its model
 * @param version the model's version
 * @param runner the runner
 * @param bytes the memory, in bytes
 * @param fence fencing number of the claim under which it was decided
 * @param unloading whether the decision to unload the replica was made
 * @param settled whether no order to load the replica can still take effect
 */
public record Reservation(
    ReplicaId replica,
    ModelId model,
    String version,
    RunnerId runner,
    long bytes,
    FencingNumber fence,
    boolean unloading,
    boolean settled) {

  /** Returns a reservation for which an order to load the replica may still take effect. */
  static Reservation of(
      ReplicaId replica,
      ModelId model,
      String version,
      RunnerId runner,
      long bytes,
      FencingNumber fence) {
    return new Reservation(replica, model, version, runner, bytes, fence, false, false);
  }

  /** Returns the same reservation with the decision to unload the replica. */
  public Reservation withUnloading() {
    return new Reservation(replica, model, version, runner, bytes, fence, true, settled);
  }

  /** Returns the same reservation, for which no order to load the replica can still take effect. */
  public Reservation withSettled() {
    return new Reservation(replica, model, version, runner, bytes, fence, unloading, true);
  }
}
