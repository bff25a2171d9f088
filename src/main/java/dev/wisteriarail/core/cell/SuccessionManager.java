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
 * Maintains the succession line, the nodes that store decisions made during a log outage, and
 * absorbs decisions that earlier controllers made or may have made during one.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class SuccessionManager {

  /** Length of the succession line. */
  private static final int LINE_LENGTH = 2;

  private static final Duration NAMING_INTERVAL = Duration.ofSeconds(1);

  private final NodeSettings settings;
  private final CellState cellState;
  private final ClosedIncarnations closedIncarnations;
  private final PendingRecords pendingRecords;
  private final ReportTracker reportTracker;
  private final RunnerEligibility eligibility;
  private Instant controlGainedAt = Instant.MIN;
  private Instant nextNamingAt = Instant.MIN;

  SuccessionManager(
      NodeSettings settings,
      CellState cellState,
      ClosedIncarnations closedIncarnations,
      PendingRecords pendingRecords,
      ReportTracker reportTracker,
      RunnerEligibility eligibility) {
    this.settings = settings;
    this.cellState = cellState;
    this.closedIncarnations = closedIncarnations;
    this.pendingRecords = pendingRecords;
    this.reportTracker = reportTracker;
    this.eligibility = eligibility;
  }

  // Updates

  /** Records when this node gained control. */
  void onControlGained(Instant now) {
    controlGainedAt = now;
  }

  /** Absorbs earlier claims, and updates the succession line if that is due. */
  void advance(Step step, ControllerContext context) {
    for (Claim earlier : cellState.unabsorbedClaims()) {
      absorb(earlier, context, step);
    }
    boolean logReachable = !context.log().isDown(step.now()) && !pendingRecords.hasReplicated();
    if (logReachable && !step.now().isBefore(nextNamingAt)) {
      nextNamingAt = step.now().plus(NAMING_INTERVAL);
      nameSuccessors(context.membership(), step);
    }
  }

  private void absorb(Claim earlier, ControllerContext context, Step step) {
    List<RecordBody> missing = cellState.adoptions(earlier.fence());
    missing.stream()
        .filter(body -> !pendingRecords.anyMatch(body::equals))
        .forEach(body -> pendingRecords.append(body, step));
    boolean resolved =
        missing.isEmpty()
            && (receivedAllDecisions(earlier) || isResolved(earlier, context, step.now()));
    RecordBody absorbedRecord =
        new RecordBody.PredecessorAbsorbed(settings.cell(), cellState.fence(), earlier.fence());
    if (resolved && !pendingRecords.anyMatch(absorbedRecord::equals)) {
      step.log(EventCode.PREDECESSOR_ABSORBED, "predecessor", earlier.fence());
      pendingRecords.append(absorbedRecord, step);
    }
  }

  /**
   * Ends the earlier claims of this incarnation once all their decisions are in the log and all
   * their orders are resolved. Until then, sends the decisions that are missing from the log to the
   * current controller.
   */
  void endEarlierClaims(OrderTracker orderTracker, Step step) {
    if (step.now().isBefore(nextNamingAt)) {
      return;
    }
    nextNamingAt = step.now().plus(NAMING_INTERVAL);
    Successor self = new Successor(settings.node(), settings.incarnation());
    for (Claim earlier : cellState.replacedClaimsOf(self.node(), self.incarnation())) {
      RecordBody endedRecord = new RecordBody.ClaimEnded(settings.cell(), earlier.fence(), self);
      if (!cellState.adoptions(earlier.fence()).isEmpty()) {
        sendMissingRecords(earlier, step);
      } else if (!orderTracker.hasUnresolvedOrders(step.now())
          && !pendingRecords.anyMatch(endedRecord::equals)) {
        pendingRecords.append(endedRecord, step);
      }
    }
  }

  private void sendMissingRecords(Claim earlier, Step step) {
    PeerMessage message =
        new PeerMessage.OutageRecords(earlier.fence(), cellState.outageRecords(earlier.fence()));
    cellState.claim().ifPresent(claim -> step.emit(new Effect.SendPeer(claim.holder(), message)));
  }

  private void nameSuccessors(Membership membership, Step step) {
    List<Successor> current = cellState.claim().orElseThrow().line();
    List<Successor> desired = chooseLine(current, membership, step.now());
    boolean namingPending = pendingRecords.anyMatch(RecordBody.SuccessionNamed.class::isInstance);
    if (!namingPending && !desired.isEmpty() && !desired.equals(current)) {
      step.log(EventCode.SUCCESSION_NAMED, "line", desired);
      pendingRecords.append(
          new RecordBody.SuccessionNamed(
              settings.cell(), cellState.fence(), cellState.lineNumber() + 1, desired),
          step);
    }
  }

  // Accessors

  /** Returns the succession line for a new claim. */
  List<Successor> chooseLine(Membership membership, Instant now) {
    return chooseLine(List.of(), membership, now);
  }

  private List<Successor> chooseLine(List<Successor> current, Membership membership, Instant now) {
    List<Successor> line = new ArrayList<>();
    Set<NodeId> named = new TreeSet<>();
    for (Successor member : current) {
      boolean remains =
          membership.isLive(member.node(), now)
              && closedIncarnations
                  .latestIncarnation(member.node())
                  .filter(member.incarnation()::equals)
                  .isPresent();
      if (remains && named.add(member.node())) {
        line.add(member);
      }
    }
    for (NodeId peer : membership.peers()) {
      Optional<Incarnation> incarnation = closedIncarnations.latestIncarnation(peer);
      boolean joins =
          line.size() < LINE_LENGTH && incarnation.isPresent() && membership.isLive(peer, now);
      if (joins && named.add(peer)) {
        line.add(new Successor(peer, incarnation.get()));
      }
    }
    return line;
  }

  /** Returns whether an earlier controller may have made decisions that this node doesn't know. */
  boolean hasUnknownDecisions() {
    return cellState.unabsorbedClaims().stream()
        .anyMatch(earlier -> !receivedAllDecisions(earlier));
  }

  /** Returns whether reports of a runner already show every effect of unknown decisions. */
  boolean reportsCoverUnknownDecisions(RunnerSpec runner, Instant now) {
    return cellState.unabsorbedClaims().stream()
        .filter(earlier -> !receivedAllDecisions(earlier))
        .allMatch(earlier -> reportsCoverUnknownDecisions(runner, earlier, now));
  }

  private boolean reportsCoverUnknownDecisions(RunnerSpec runner, Claim earlier, Instant now) {
    if (runner.checksFencing()) {
      return eligibility.hasAcceptedFence(runner.id())
          && reportTracker.reflectsStateAt(runner.id(), eligibility.fenceAcceptedAt(runner.id()));
    }
    Duration transit = settings.timings().cells().orderTransit();
    return closedIncarnations
        .closedSince(earlier.holder(), earlier.incarnation(), now)
        .map(at -> at.plus(transit))
        .filter(at -> !now.isBefore(at) && reportTracker.reflectsStateAt(runner.id(), at))
        .isPresent();
  }

  private boolean isResolved(Claim earlier, ControllerContext context, Instant now) {
    boolean boundPassed =
        !now.isBefore(controlGainedAt.plus(settings.timings().cells().closeAfter()));
    return boundPassed
        || context.configuration().runners().values().stream()
            .filter(runner -> runner.role() == RunnerRole.MODEL)
            .allMatch(runner -> reportsCoverUnknownDecisions(runner, earlier, now));
  }

  /**
   * Returns whether this incarnation knows every outage decision of a claim: the claim has no
   * succession line and thus allowed none, or this incarnation had to acknowledge them, or it held
   * the claim itself.
   */
  private boolean receivedAllDecisions(Claim earlier) {
    Successor self = new Successor(settings.node(), settings.incarnation());
    return earlier.line().isEmpty()
        || earlier.line().contains(self)
        || earlier.isHeldBy(settings.node(), settings.incarnation());
  }
}
