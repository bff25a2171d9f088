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
final class Predecessors {

  private final NodeSettings settings;
  private final CellLedger ledger;
  private final Closures closures;
  private final RunnerGates gates;
  private Instant changedAt = Instant.MIN;

  private Predecessors(
      NodeSettings settings, CellLedger ledger, Closures closures, RunnerGates gates) {
    this.settings = settings;
    this.ledger = ledger;
    this.closures = closures;
    this.gates = gates;
  }

  static Predecessors create(
      NodeSettings settings, CellLedger ledger, Closures closures, RunnerGates gates) {
    return new Predecessors(settings, ledger, closures, gates);
  }

  /** Notes that this node gained control, or that an earlier controller said that it is done. */
  void acceptChange(Instant now) {
    changedAt = now;
  }

  /**
   * Returns since when no order of an earlier controller can load the replica; empty while one may
   * still do so.
   */
  Optional<Instant> silentSince(Reservation held, Configuration configuration, Instant now) {
    if (held.fence().equals(ledger.fence())) {
      return Optional.of(Instant.MIN);
    }
    List<Claim> senders =
        ledger.pastSince(held.fence()).stream()
            .filter(old -> !old.isHeldBy(settings.node(), settings.incarnation()))
            .toList();
    if (held.settled() || senders.isEmpty()) {
      return Optional.of(changedAt);
    }
    RunnerSpec runner = configuration.runners().get(held.runner());
    if (runner != null && runner.checksFencing() && gates.isRaised(held.runner())) {
      return Optional.of(gates.raisedAt(held.runner()));
    }
    return closedSince(senders, now);
  }

  private Optional<Instant> closedSince(List<Claim> senders, Instant now) {
    Duration transit = settings.timings().cells().orderTransit();
    Instant last = changedAt;
    for (Claim sender : senders) {
      Optional<Instant> end =
          closures
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
