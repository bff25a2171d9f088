package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.PeerTable;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.tenant.AllowanceReserve;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Access to the reserve of allowances: to that of this node if it is the coordinator, or by
 * messages to that of the coordinator.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class ReserveAccess implements AllowanceGate.Coordinator {

  private static final AllowanceReserve.Decision UNDECIDED =
      new AllowanceReserve.Decision(false, Duration.ZERO);

  private final NodeAddress self;
  private final PeerTable peers;
  private final CoordinatorRole role;
  private final Supplier<Optional<NodeId>> coordinator;

  private ReserveAccess(
      NodeAddress self,
      PeerTable peers,
      CoordinatorRole role,
      Supplier<Optional<NodeId>> coordinator) {
    this.self = self;
    this.peers = peers;
    this.role = role;
    this.coordinator = coordinator;
  }

  /**
   * Creates the access.
   *
   * @param coordinator returns the node that coordinates, if it is known
   */
  static ReserveAccess create(
      NodeAddress self,
      PeerTable peers,
      CoordinatorRole role,
      Supplier<Optional<NodeId>> coordinator) {
    return new ReserveAccess(self, peers, role, coordinator);
  }

  @Override
  public Optional<AllowanceReserve.Decision> take(
      FleetMessage.AllowanceAsked question, Instant now) {
    return role.takeFromReserve(self.node(), self.incarnation(), question, now);
  }

  @Override
  public boolean ask(FleetMessage.AllowanceAsked question, GatewayStep step) {
    Optional<NodeId> node = coordinator.get().filter(each -> !each.equals(self.node()));
    return node.isPresent() && send(node.get(), question, step);
  }

  /** Answers a question of a peer; undecided if this node does not coordinate. */
  void answer(
      GatewayEvent.PeerMessageReceived received,
      FleetMessage.AllowanceAsked asked,
      GatewayStep step) {
    AllowanceReserve.Decision decision =
        role.takeFromReserve(received.from(), received.incarnation(), asked, step.now())
            .orElse(UNDECIDED);
    boolean _ =
        send(
            received.from(),
            new FleetMessage.AllowanceAnswered(
                asked.number(), decision.granted(), decision.retryAfter().toMillis()),
            step);
  }

  private boolean send(NodeId node, FleetMessage message, GatewayStep step) {
    Optional<PeerTable.Peer> peer = peers.live(node, step.now());
    peer.ifPresent(to -> step.emit(new GatewayEffect.SendPeer(to.address(), message)));
    return peer.isPresent();
  }
}
