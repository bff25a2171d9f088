package dev.wisteriarail.core;

import dev.wisteriarail.core.cell.Reservation;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.membership.PeerView;
import java.util.List;
import java.util.Optional;

/**
 * What one node knows of itself and of the fleet, for operators.
 *
 * @param node the node
 * @param incarnation this run of the process
 * @param failureDomain where it stands
 * @param cell the cell that it may control
 * @param ready whether the balancer may send callers
 * @param draining whether it is shutting down
 * @param idle whether it holds no request and owes the log nothing
 * @param revision the configuration in force
 * @param models number of models in it
 * @param logDown whether the log cannot be read
 * @param logCurrent whether every record that the log held was folded
 * @param nextOffset offset after the last folded record
 * @param snapshotThrough offset that the newest snapshot in the log covers; empty if there is none
 * @param controller the node that holds the claim on the cell
 * @param fence the cell's fencing number
 * @param peers the other nodes
 * @param replicas the replicas that are decided
 */
public record NodeStatus(
    NodeId node,
    Incarnation incarnation,
    FailureDomain failureDomain,
    CellId cell,
    boolean ready,
    boolean draining,
    boolean idle,
    Revision revision,
    int models,
    boolean logDown,
    boolean logCurrent,
    long nextOffset,
    Optional<Long> snapshotThrough,
    Optional<NodeId> controller,
    FencingNumber fence,
    List<PeerView> peers,
    List<Reservation> replicas) {

  /** Copies the lists. */
  public NodeStatus {
    peers = List.copyOf(peers);
    replicas = List.copyOf(replicas);
  }
}
