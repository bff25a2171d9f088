package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.membership.Membership;
import dev.wisteriarail.core.peer.PeerMessage;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Names the nodes that may be told of decisions in an outage, and takes over what an earlier
 * controller may have decided in one.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class Succession {

  /** Length of the line of succession. */
  private static final int LINE = 2;

  private static final Duration NAMING = Duration.ofSeconds(1);

  private final NodeSettings settings;
  private final CellLedger ledger;
  private final Closures closures;
  private final PendingRecords pending;
  private final Sightings sightings;
  private final RunnerGates gates;
  private Instant gainedAt = Instant.MIN;
  private Instant nextNaming = Instant.MIN;

  Succession(
      NodeSettings settings,
      CellLedger ledger,
      Closures closures,
      PendingRecords pending,
      Sightings sightings,
      RunnerGates gates) {
    this.settings = settings;
    this.ledger = ledger;
    this.closures = closures;
    this.pending = pending;
    this.sightings = sightings;
    this.gates = gates;
  }

  // Updates

  /** Notes when this node gained control. */
  void acceptControl(Instant now) {
    gainedAt = now;
  }

  /** Takes over earlier decisions and names the line anew where that is due. */
  void advance(Step step, Surroundings around) {
    for (Claim earlier : ledger.unabsorbed()) {
      absorb(earlier, around, step);
    }
    boolean calm = !around.log().isDown(step.now()) && !pending.hasShared();
    if (calm && !step.now().isBefore(nextNaming)) {
      nextNaming = step.now().plus(NAMING);
      name(around.membership(), step);
    }
  }

  private void absorb(Claim earlier, Surroundings around, Step step) {
    List<RecordBody> missing = ledger.adoptions(earlier.fence());
    missing.stream()
        .filter(body -> !pending.any(body::equals))
        .forEach(body -> pending.append(body, step));
    boolean resolved =
        missing.isEmpty() && (wasTold(earlier) || isResolved(earlier, around, step.now()));
    RecordBody done =
        new RecordBody.PredecessorAbsorbed(settings.cell(), ledger.fence(), earlier.fence());
    if (resolved && !pending.any(done::equals)) {
      step.log(EventCode.PREDECESSOR_ABSORBED, "predecessor", earlier.fence());
      pending.append(done, step);
    }
  }

  /**
   * Ends the claims that this run held before, once nothing of them is open; until then tells the
   * present controller what is missing from the log.
   */
  void endEarlier(OrderBook orders, Step step) {
    if (step.now().isBefore(nextNaming)) {
      return;
    }
    nextNaming = step.now().plus(NAMING);
    Successor self = new Successor(settings.node(), settings.incarnation());
    for (Claim earlier : ledger.pastOf(self.node(), self.incarnation())) {
      RecordBody done = new RecordBody.ClaimEnded(settings.cell(), earlier.fence(), self);
      if (!ledger.adoptions(earlier.fence()).isEmpty()) {
        report(earlier, step);
      } else if (!orders.isUncertain(step.now()) && !pending.any(done::equals)) {
        pending.append(done, step);
      }
    }
  }

  private void report(Claim earlier, Step step) {
    PeerMessage missing =
        new PeerMessage.OutageRecords(earlier.fence(), ledger.told(earlier.fence()));
    ledger.claim().ifPresent(claim -> step.emit(new Effect.SendPeer(claim.holder(), missing)));
  }

  private void name(Membership membership, Step step) {
    List<Successor> current = ledger.claim().orElseThrow().line();
    List<Successor> wanted = line(current, membership, step.now());
    boolean naming = pending.any(RecordBody.SuccessionNamed.class::isInstance);
    if (!naming && !wanted.isEmpty() && !wanted.equals(current)) {
      step.log(EventCode.SUCCESSION_NAMED, "line", wanted);
      pending.append(
          new RecordBody.SuccessionNamed(
              settings.cell(), ledger.fence(), ledger.lineNumber() + 1, wanted),
          step);
    }
  }

  // Accessors

  /** Returns the line that a claim names now. */
  List<Successor> line(Membership membership, Instant now) {
    return line(List.of(), membership, now);
  }

  private List<Successor> line(List<Successor> current, Membership membership, Instant now) {
    List<Successor> line = new ArrayList<>();
    Set<NodeId> named = new TreeSet<>();
    for (Successor member : current) {
      boolean stays =
          membership.isLive(member.node(), now)
              && closures.newestRun(member.node()).filter(member.incarnation()::equals).isPresent();
      if (stays && named.add(member.node())) {
        line.add(member);
      }
    }
    for (NodeId peer : membership.peers()) {
      Optional<Incarnation> run = closures.newestRun(peer);
      boolean joins = line.size() < LINE && run.isPresent() && membership.isLive(peer, now);
      if (joins && named.add(peer)) {
        line.add(new Successor(peer, run.get()));
      }
    }
    return line;
  }

  /** Returns whether some earlier controller may have made decisions that are not known here. */
  boolean isBlind() {
    return ledger.unabsorbed().stream().anyMatch(earlier -> !wasTold(earlier));
  }

  /** Returns whether all that unknown decisions can do on a runner is seen by now. */
  boolean isSafe(RunnerSpec runner, Instant now) {
    return ledger.unabsorbed().stream()
        .filter(earlier -> !wasTold(earlier))
        .allMatch(earlier -> isSafe(runner, earlier, now));
  }

  private boolean isSafe(RunnerSpec runner, Claim earlier, Instant now) {
    if (runner.checksFencing()) {
      return gates.isRaised(runner.id())
          && sightings.shows(runner.id(), gates.raisedAt(runner.id()));
    }
    Duration transit = settings.timings().cells().orderTransit();
    return closures
        .closedSince(earlier.holder(), earlier.incarnation(), now)
        .map(at -> at.plus(transit))
        .filter(at -> !now.isBefore(at) && sightings.shows(runner.id(), at))
        .isPresent();
  }

  private boolean isResolved(Claim earlier, Surroundings around, Instant now) {
    boolean waited = !now.isBefore(gainedAt.plus(settings.timings().cells().closeAfter()));
    return waited
        || around.configuration().runners().values().stream()
            .filter(runner -> runner.role() == RunnerRole.MODEL)
            .allMatch(runner -> isSafe(runner, earlier, now));
  }

  /** Returns whether this run was told each decision that a controller made without the log. */
  private boolean wasTold(Claim earlier) {
    Successor self = new Successor(settings.node(), settings.incarnation());
    return earlier.line().isEmpty()
        || earlier.line().contains(self)
        || earlier.isHeldBy(settings.node(), settings.incarnation());
  }
}
