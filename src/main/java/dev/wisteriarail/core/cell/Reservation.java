package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;

/**
 * Accelerator memory that a decision holds on a runner.
 *
 * @param replica the replica
 * @param model its model
 * @param version the model's version
 * @param runner the runner
 * @param bytes the memory, in bytes
 * @param fence fencing number of the controller that decided it
 * @param unloading whether its unloading was decided too
 * @param settled whether no order to load it is under way any more
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

  /** Returns a reservation whose load may be under way. */
  static Reservation of(
      ReplicaId replica,
      ModelId model,
      String version,
      RunnerId runner,
      long bytes,
      FencingNumber fence) {
    return new Reservation(replica, model, version, runner, bytes, fence, false, false);
  }

  /** Returns the same reservation with its unloading decided. */
  public Reservation withUnloading() {
    return new Reservation(replica, model, version, runner, bytes, fence, true, settled);
  }

  /** Returns the same reservation without any order to load it under way. */
  public Reservation withSettled() {
    return new Reservation(replica, model, version, runner, bytes, fence, unloading, true);
  }
}
