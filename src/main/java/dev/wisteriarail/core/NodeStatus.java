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
 * Status of a node and its view of the fleet, for operators.
 *
 * @param node the node
 * @param incarnation the incarnation of this process
 * @param failureDomain the node's failure domain
 * @param cell the cell that the node may control
 * @param ready whether the load balancer may send callers
 * @param draining whether the node is shutting down
 * @param idle whether the node has no requests and no outstanding appends to the log
 * @param revision the configuration revision in force
 * @param models number of models in the configuration
 * @param logDown whether the log counts as down
 * @param logCurrent whether there is no gap between the applied records and those in the log
 * @param nextOffset offset after the last applied record
 * @param snapshotThrough offset covered by the newest snapshot in the log; empty if there is none
 * @param controller the node that holds the claim on the cell
 * @param fence the cell's fencing number
 * @param peers the other nodes
 * @param replicas the reservations of all replicas
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
