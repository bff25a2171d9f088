package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.RunnerSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Tells until when earlier controllers' orders to load a replica may still take effect.
 *
 * <p>At an engine that checks fencing numbers they end once it has seen this controller's number.
 * At any other engine they end once every controller that could have sent one is closed and the
 * longest transit of an order has passed. A paused controller is not closed.
 *
 * <p>Stateless but for the time of the last change. Owned by the node's core.
 */
final class PredecessorOrders {

  private final NodeSettings settings;
  private final CellState cellState;
  private final ClosedIncarnations closedIncarnations;
  private final RunnerEligibility eligibility;
  private Instant changedAt = Instant.MIN;

  private PredecessorOrders(
      NodeSettings settings,
      CellState cellState,
      ClosedIncarnations closedIncarnations,
      RunnerEligibility eligibility) {
    this.settings = settings;
    this.cellState = cellState;
    this.closedIncarnations = closedIncarnations;
    this.eligibility = eligibility;
  }

  static PredecessorOrders create(
      NodeSettings settings,
      CellState cellState,
      ClosedIncarnations closedIncarnations,
      RunnerEligibility eligibility) {
    return new PredecessorOrders(settings, cellState, closedIncarnations, eligibility);
  }

  /** Notes that this node gained control, or that an earlier controller said that it is done. */
  void onClaimsChanged(Instant now) {
    changedAt = now;
  }

  /**
   * Returns since when no order of an earlier controller can load the replica; empty while one may
   * still do so.
   */
  Optional<Instant> quiescentSince(
      Reservation reservation, Configuration configuration, Instant now) {
    if (reservation.fence().equals(cellState.fence())) {
      return Optional.of(Instant.MIN);
    }
    List<Claim> senders =
        cellState.replacedClaimsSince(reservation.fence()).stream()
            .filter(claim -> !claim.isHeldBy(settings.node(), settings.incarnation()))
            .toList();
    if (reservation.settled() || senders.isEmpty()) {
      return Optional.of(changedAt);
    }
    RunnerSpec runner = configuration.runners().get(reservation.runner());
    if (runner != null
        && runner.checksFencing()
        && eligibility.hasAcceptedFence(reservation.runner())) {
      return Optional.of(eligibility.fenceAcceptedAt(reservation.runner()));
    }
    return closedSince(senders, now);
  }

  private Optional<Instant> closedSince(List<Claim> senders, Instant now) {
    Duration transit = settings.timings().cells().orderTransit();
    Instant last = changedAt;
    for (Claim sender : senders) {
      Optional<Instant> end =
          closedIncarnations
              .closedSince(sender.holder(), sender.incarnation(), now)
              .map(at -> at.plus(transit))
              .filter(at -> !now.isBefore(at));
      if (end.isEmpty()) {
        return Optional.empty();
      }
      last = end.get().isAfter(last) ? end.get() : last;
    }
    return Optional.of(last);
  }
}
