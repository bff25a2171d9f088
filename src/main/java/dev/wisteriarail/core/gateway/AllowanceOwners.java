package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.PeerTable;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.tenant.AllowanceDecisions;
import dev.wisteriarail.core.tenant.OwnerUse;
import dev.wisteriarail.core.tenant.ShareGrant;
import dev.wisteriarail.core.tenant.TenantAllowances;
import dev.wisteriarail.core.tenant.TenantOwner;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Access to the owners of tenants: this node, or others by messages. Which node owns a tenant is
 * told by the coordinator; that it may decide, by the share that it holds.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class AllowanceOwners implements AllowanceGate.Owners {

  /** Interval between two log lines about the decisions on a tenant. */
  private static final Duration USE_LOG_INTERVAL = Duration.ofSeconds(1);

  private final NodeAddress self;
  private final PeerTable peers;
  private final TenantAllowances allowances;
  private final AllowanceDecisions decisions;
  private long fence;
  private List<TenantOwner> known = List.of();
  private Map<String, NodeId> nodes = Map.of();
  private Instant nextUseLog = Instant.MIN;

  private AllowanceOwners(NodeAddress self, PeerTable peers, TenantAllowances allowances) {
    this.self = self;
    this.peers = peers;
    this.allowances = allowances;
    decisions = AllowanceDecisions.create(allowances);
  }

  /** Creates the access of a node that knows no owners. */
  static AllowanceOwners create(NodeAddress self, PeerTable peers, TenantAllowances allowances) {
    return new AllowanceOwners(self, peers, allowances);
  }

  // Owners

  /** Applies what a coordinator told, unless it is an earlier one. */
  void accept(FleetMessage.OwnersTold told) {
    if (told.fence() < fence) {
      return;
    }
    fence = told.fence();
    if (!told.owners().equals(known)) {
      known = told.owners();
      nodes =
          known.stream()
              .collect(
                  Collectors.toUnmodifiableMap(
                      TenantOwner::tenant, owner -> NodeId.of(owner.node()), (one, other) -> one));
    }
    Set<String> owned =
        known.stream()
            .filter(owner -> owner.node().equals(self.node().value()))
            .map(TenantOwner::tenant)
            .collect(Collectors.toSet());
    allowances.setOwned(owned);
  }

  /**
   * Applies grants of the coordinator to this node's shares.
   *
   * @return whether this node lost the ownership of a tenant, which waits for a report to have an
   *     owner again
   */
  boolean accept(List<ShareGrant> grants, GatewayStep step) {
    final boolean owned = allowances.ownsTenant(step.now());
    for (ShareGrant grant : allowances.accept(grants, step.now())) {
      step.log(
          EventCode.OWNERSHIP_GAINED,
          "tenant",
          grant.tenant(),
          "share",
          grant.rate(),
          "deficit",
          Math.round(grant.deficit()));
    }
    return owned && !allowances.ownsTenant(step.now());
  }

  /** Returns the owners that are known. */
  List<TenantOwner> known() {
    return known;
  }

  @Override
  public Optional<NodeId> node(String tenant) {
    return Optional.ofNullable(nodes.get(tenant));
  }

  /** Returns whether this node was told that it is the owner of a tenant. */
  private boolean isOwner(String tenant) {
    return self.node().equals(nodes.get(tenant));
  }

  // Requests

  @Override
  public Optional<AllowanceDecisions.Decision> take(
      FleetMessage.AllowanceAsked question, Instant now) {
    return isOwner(question.tenant())
        ? Optional.of(decide(self.node(), self.incarnation(), question, now))
        : Optional.empty();
  }

  @Override
  public void send(String tenant, FleetMessage message, GatewayStep step) {
    node(tenant)
        .filter(node -> !node.equals(self.node()))
        .ifPresent(node -> sendTo(node, message, step));
  }

  @Override
  public void giveBack(FleetMessage.AllowanceReturned returned, GatewayStep step) {
    if (isOwner(returned.tenant())) {
      acceptReturned(returned, step);
    } else {
      send(returned.tenant(), returned, step);
    }
  }

  /** Handles a cost that a peer returns. */
  void acceptReturned(FleetMessage.AllowanceReturned returned, GatewayStep step) {
    decisions.giveBack(returned.tenant(), returned.cost(), step.now());
  }

  /** Answers a question of a peer. */
  void answer(
      GatewayEvent.PeerMessageReceived received,
      FleetMessage.AllowanceAsked asked,
      GatewayStep step) {
    AllowanceDecisions.Decision decision =
        decide(received.from(), received.incarnation(), asked, step.now());
    sendTo(
        received.from(),
        new FleetMessage.AllowanceAnswered(
            asked.number(), decision.granted(), decision.delay().toMillis()),
        step);
  }

  private AllowanceDecisions.Decision decide(
      NodeId node, Incarnation incarnation, FleetMessage.AllowanceAsked asked, Instant now) {
    return decisions.take(
        node.value() + "#" + incarnation.value() + "#" + asked.number(),
        asked.tenant(),
        asked.cost(),
        Duration.ofMillis(asked.patienceMillis()),
        now);
  }

  private void sendTo(NodeId node, FleetMessage message, GatewayStep step) {
    peers
        .address(node)
        .ifPresent(address -> step.emit(new GatewayEffect.SendPeer(address, message)));
  }

  /** Logs once a second what this node decided as an owner. */
  void logUses(GatewayStep step) {
    if (step.now().isBefore(nextUseLog)) {
      return;
    }
    nextUseLog = step.now().plus(USE_LOG_INTERVAL);
    for (OwnerUse use : decisions.takeUses(step.now())) {
      step.log(
          EventCode.ALLOWANCE_DECIDED,
          "tenant",
          use.tenant(),
          "granted",
          Math.round(use.granted()),
          "refused",
          Math.round(use.refused()),
          "longest_delay_ms",
          use.longestDelay().toMillis(),
          "level",
          Math.round(use.level()));
    }
  }
}
