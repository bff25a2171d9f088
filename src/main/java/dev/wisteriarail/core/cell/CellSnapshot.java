package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.ReplicaId;
import java.util.List;
import java.util.Optional;

/**
 * The state of a cell's ledger up to some offset of the log.
 *
 * @param cell the cell
 * @param claim the claim in force; empty after a release
 * @param fence the fencing number of the last claim
 * @param lineNumber number of the last change of the line of succession under that claim
 * @param reservations what decisions hold
 * @param past replaced claims whose holders may still send an order
 * @param unabsorbed replaced claims whose holders may have decided without the log
 * @param closed replicas that were closed lately
 */
public record CellSnapshot(
    CellId cell,
    Optional<Claim> claim,
    FencingNumber fence,
    long lineNumber,
    List<Reservation> reservations,
    List<Claim> past,
    List<Claim> unabsorbed,
    List<ClosedReplica> closed) {

  /** Copies the lists. */
  public CellSnapshot {
    reservations = List.copyOf(reservations);
    past = List.copyOf(past);
    unabsorbed = List.copyOf(unabsorbed);
    closed = List.copyOf(closed);
  }

  /**
   * A closed replica, kept so that a repeat of its decision is known as one.
   *
   * @param replica the replica
   * @param offset the offset of the record that closed it
   */
  public record ClosedReplica(ReplicaId replica, long offset) {}
}
