package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.RunnerSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Determines how long orders of earlier controllers to load a replica may still take effect.
 *
 * <p>On an engine that checks fencing numbers, they can't take effect once it has accepted this
 * controller's number. On any other engine, they can't once every controller that may have sent one
 * is closed and the longest transit time of an order has passed. A paused controller is not closed.
 *
 * <p>Life cycle: one per node. Holds no state except the time of the last change. Not thread-safe;
 * owned by the node's core.
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

  /** Records that this node gained control, or that an earlier controller ended its claim. */
  void onClaimsChanged(Instant now) {
    changedAt = now;
  }

  /**
   * Returns since when no order of an earlier controller can load the replica; empty while one
   * still may.
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
