package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.RecordBody;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Brings engines in line with the reservations: orders what is missing, unloads what nobody
 * decided, and frees a reservation only when nothing can bring its replica back.
 *
 * <p>Works from state alone, so that it does the same after a takeover as after a lost answer.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class Reconciler {

  private final NodeSettings settings;
  private final CellLedger ledger;
  private final PendingRecords pending;
  private final OrderBook orders;
  private final Sightings sightings;
  private final RunnerGates gates;
  private final Predecessors predecessors;

  Reconciler(
      NodeSettings settings,
      CellLedger ledger,
      PendingRecords pending,
      OrderBook orders,
      Sightings sightings,
      RunnerGates gates,
      Predecessors predecessors) {
    this.settings = settings;
    this.ledger = ledger;
    this.pending = pending;
    this.orders = orders;
    this.sightings = sightings;
    this.gates = gates;
    this.predecessors = predecessors;
  }

  /** Brings all runners in line. */
  void advance(Configuration configuration, Step step) {
    for (RunnerSpec runner : configuration.runners().values()) {
      if (runner.role() == RunnerRole.MODEL) {
        gates.raise(runner.id(), orders, ledger.fence(), step);
      }
    }
    for (Reservation held : List.copyOf(ledger.reservations())) {
      reconcile(held, configuration, step);
    }
    Set<ReplicaId> present = new TreeSet<>();
    for (RunnerId runner : configuration.runners().keySet()) {
      sightings.report(runner).ifPresent(report -> sweep(report, present, step));
    }
    orders.retain(id -> present.contains(id) || ledger.reservation(id).isPresent());
    sightings.retain(id -> present.contains(id) || ledger.reservation(id).isPresent());
  }

  private void reconcile(Reservation held, Configuration configuration, Step step) {
    Optional<Instant> certain = certainSince(held, configuration, step.now());
    Optional<ReplicaStatus> status = sightings.status(held.runner(), held.replica());
    boolean gone =
        certain.filter(since -> sightings.isGone(held.runner(), held.replica(), since)).isPresent();
    if (isRefused(held, step.now())) {
      close(held, "its engine refused to load it", step);
    } else if (held.unloading()) {
      unload(held, status, gone, configuration, step);
    } else if (status.isPresent()) {
      settle(held, certain.isPresent(), step);
    } else {
      load(held, gone, step);
    }
  }

  /** Returns since when no order can make the replica appear; empty while one may. */
  private Optional<Instant> certainSince(
      Reservation held, Configuration configuration, Instant now) {
    if (!orders.isCertain(held.replica(), now)) {
      return Optional.empty();
    }
    Instant own = orders.certainSince(held.replica());
    return predecessors
        .silentSince(held, configuration, now)
        .map(others -> others.isAfter(own) ? others : own);
  }

  private boolean isRefused(Reservation held, Instant now) {
    return held.fence().equals(ledger.fence()) && orders.wasLoadRefused(held.replica(), now);
  }

  private void unload(
      Reservation held,
      Optional<ReplicaStatus> status,
      boolean gone,
      Configuration configuration,
      Step step) {
    boolean removed = !configuration.runners().containsKey(held.runner());
    if (gone || (removed && certainSince(held, configuration, step.now()).isPresent())) {
      close(held, removed ? "its runner was removed" : "unloading was seen", step);
      return;
    }
    boolean underWay =
        status.filter(seen -> seen.phase() == ReplicaPhase.UNLOADING).isPresent()
            || (status.isEmpty() && orders.wasUnloadDone(held.replica()));
    if (!removed && !underWay && orders.mayTry(held.replica(), step.now())) {
      order(held, new EngineOrder.UnloadReplica(held.replica()), step);
    }
  }

  private void settle(Reservation held, boolean certain, Step step) {
    gates.acceptSuccess(held.runner());
    if (!certain || held.settled() || pending.any(body -> settles(body, held.replica()))) {
      return;
    }
    pending.append(
        new RecordBody.LoadSettled(settings.cell(), ledger.fence(), held.replica()), step);
  }

  private void load(Reservation held, boolean gone, Step step) {
    boolean wasThere = held.settled() || orders.wasLoadDone(held.replica());
    if (wasThere && gone) {
      close(held, "its engine lost it", step);
    } else if (!wasThere
        && gates.isRaised(held.runner())
        && orders.mayTry(held.replica(), step.now())) {
      order(
          held,
          new EngineOrder.LoadReplica(held.replica(), held.model(), held.version(), held.bytes()),
          step);
    }
  }

  private void sweep(EngineReport report, Set<ReplicaId> present, Step step) {
    for (ReplicaStatus status : report.replicas()) {
      present.add(status.replica());
      boolean undecided =
          ledger.reservation(status.replica()).isEmpty()
              && status.phase() != ReplicaPhase.UNLOADING
              && gates.isRaised(report.runner());
      if (undecided && orders.mayTry(status.replica(), step.now())) {
        step.log(
            EventCode.REPLICA_UNDECIDED, "replica", status.replica(), "runner", report.runner());
        orders.send(
            report.runner(),
            Optional.of(status.replica()),
            new EngineOrder.UnloadReplica(status.replica()),
            ledger.fence(),
            step);
      }
    }
  }

  // Helpers

  private void order(Reservation held, EngineOrder body, Step step) {
    orders.send(held.runner(), Optional.of(held.replica()), body, ledger.fence(), step);
  }

  private void close(Reservation held, String reason, Step step) {
    if (!pending.any(body -> closes(body, held.replica()))) {
      pending.append(
          new RecordBody.ReplicaClosed(settings.cell(), ledger.fence(), held.replica(), reason),
          step);
    }
  }

  private static boolean closes(RecordBody body, ReplicaId replica) {
    return body instanceof RecordBody.ReplicaClosed closed && closed.replica().equals(replica);
  }

  private static boolean settles(RecordBody body, ReplicaId replica) {
    return body instanceof RecordBody.LoadSettled settled && settled.replica().equals(replica);
  }
}
