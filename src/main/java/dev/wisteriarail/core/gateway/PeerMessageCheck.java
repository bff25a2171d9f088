package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.PeerStatus;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.tenant.ShareGrant;
import dev.wisteriarail.core.tenant.TenantChecks;
import dev.wisteriarail.core.tenant.TenantOwner;
import dev.wisteriarail.core.tenant.TenantUse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Checks messages of peers, as decoding neither requires fields nor limits numbers. Unusable
 * addresses are left out, and other unusable messages are dropped. Stateless.
 */
final class PeerMessageCheck {

  /** Entries about tenants that one message may have. */
  private static final int MAX_TENANTS = 1_000;

  /** Longest delay or retry-after time that the owner of a tenant may answer. */
  private static final long MAX_RETRY_AFTER_MILLIS = Duration.ofHours(1).toMillis();

  private PeerMessageCheck() {}

  /** Returns the usable part of a message; empty and logged if it has none. */
  static Optional<FleetMessage> usablePart(
      GatewayEvent.PeerMessageReceived received, GatewayStep step) {
    Optional<FleetMessage> usable =
        switch (received.message()) {
          case FleetMessage.Beat beat -> usablePart(beat);
          case FleetMessage.ConfigurationTold told when told.configuration() == null ->
              Optional.empty();
          case FleetMessage.ConfigurationTold told
              when !TenantChecks.faults(told.configuration().tenants()).isEmpty() ->
              Optional.empty();
          case FleetMessage.DirectoryTold told -> usablePart(told);
          case FleetMessage.DemandTold told -> Optional.of(usablePart(told));
          case FleetMessage.FleetTold told -> Optional.of(usablePart(told));
          case FleetMessage.AllowanceAsked asked
              when asked.tenant() == null || !isCost(asked.cost()) || asked.patienceMillis() < 0 ->
              Optional.empty();
          case FleetMessage.AllowanceAnswered answered
              when answered.delayMillis() < 0 || answered.delayMillis() > MAX_RETRY_AFTER_MILLIS ->
              Optional.empty();
          case FleetMessage.AllowanceReturned returned
              when returned.tenant() == null || !isCost(returned.cost()) ->
              Optional.empty();
          case FleetMessage.OwnersTold told -> Optional.of(usablePart(told));
          default -> Optional.of(received.message());
        };
    if (usable.isEmpty() || !usable.get().equals(received.message())) {
      step.log(
          EventCode.PEER_MESSAGE_IGNORED,
          "peer",
          received.from(),
          "message",
          received.message().getClass().getSimpleName(),
          "whole",
          usable.isEmpty());
    }
    return usable;
  }

  private static Optional<FleetMessage> usablePart(FleetMessage.Beat beat) {
    PeerStatus status = beat.status();
    boolean complete =
        beat.self() != null
            && beat.self().isUsable()
            && status != null
            && status.leaseEnd() != null
            && status.directoryOffset() != null
            && status.directoryChange() != null;
    if (!complete) {
      return Optional.empty();
    }
    if (beat.known().stream().allMatch(NodeAddress::isUsable)) {
      return Optional.of(beat);
    }
    List<NodeAddress> known = beat.known().stream().filter(NodeAddress::isUsable).toList();
    return Optional.of(
        new FleetMessage.Beat(
            beat.self(), known, status, beat.leaving(), beat.refusals(), beat.crashes()));
  }

  private static FleetMessage usablePart(FleetMessage.DemandTold told) {
    List<TenantUse> tenants =
        told.tenants().stream().filter(TenantUse::isUsable).limit(MAX_TENANTS).toList();
    return new FleetMessage.DemandTold(
        told.demands(), told.uses(), told.viewRevision(), tenants, told.owner());
  }

  private static FleetMessage usablePart(FleetMessage.FleetTold told) {
    return told.with(
        told.grants().stream().filter(ShareGrant::isUsable).limit(MAX_TENANTS).toList());
  }

  private static FleetMessage usablePart(FleetMessage.OwnersTold told) {
    return new FleetMessage.OwnersTold(
        told.fence(),
        told.owners().stream().filter(TenantOwner::isUsable).limit(MAX_TENANTS).toList());
  }

  private static Optional<FleetMessage> usablePart(FleetMessage.DirectoryTold told) {
    DirectoryChange change = told.change();
    if (change == null || change.from() == null || change.to() == null) {
      return Optional.empty();
    }
    if (change.entries().stream().allMatch(RunnerEntry::isReachable)) {
      return Optional.of(told);
    }
    List<RunnerEntry> entries = change.entries().stream().filter(RunnerEntry::isReachable).toList();
    return Optional.of(
        new FleetMessage.DirectoryTold(
            new DirectoryChange(
                change.whole(), change.from(), change.to(), entries, change.removed())));
  }

  private static boolean isCost(double value) {
    return Double.isFinite(value) && value >= 0;
  }
}
