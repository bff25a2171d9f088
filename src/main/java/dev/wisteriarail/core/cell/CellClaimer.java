package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.membership.Membership;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Claims the cell when it is vacant, that is, when no live node holds its claim.
 *
 * <p>A claim is always safe, since the log orders claims and the newest one invalidates the others;
 * the rules here only avoid needless claims. A cell becomes vacant when its holder is silent, has a
 * later incarnation, or has released its claim. The node that is first in rank then claims the cell
 * at once, and each further node after an additional delay. If nodes disagree on whether the holder
 * is alive, the interval between claims doubles each time.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class CellClaimer {

  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  /** Time since the last contested claim after which the backoff starts over. */
  private static final Duration CONTEST_RESET = Duration.ofMinutes(5);

  /**
   * Additional delay of a node outside the succession line, so that a node of the line claims first
   * if one is alive.
   */
  private static final Duration UNNAMED_NODE_DELAY = Duration.ofSeconds(2);

  private final NodeSettings settings;
  private final CellState cellState;
  private final ClosedIncarnations closedIncarnations;
  private final PendingRecords pendingRecords;
  private Optional<Instant> startedAt = Optional.empty();
  private Optional<Instant> vacantSince = Optional.empty();
  private Optional<Instant> lastContest = Optional.empty();
  private Instant backoffUntil = Instant.MIN;
  private int backoffDoublings;

  private CellClaimer(
      NodeSettings settings,
      CellState cellState,
      ClosedIncarnations closedIncarnations,
      PendingRecords pendingRecords) {
    this.settings = settings;
    this.cellState = cellState;
    this.closedIncarnations = closedIncarnations;
    this.pendingRecords = pendingRecords;
  }

  static CellClaimer create(
      NodeSettings settings,
      CellState cellState,
      ClosedIncarnations closedIncarnations,
      PendingRecords pendingRecords) {
    return new CellClaimer(settings, cellState, closedIncarnations, pendingRecords);
  }

  // Updates

  /** Records that a claim replaced one whose holder this node considers alive. */
  void onClaimContested(Instant now) {
    boolean firstContest =
        lastContest.filter(last -> now.isBefore(last.plus(CONTEST_RESET))).isEmpty();
    backoffDoublings = firstContest ? 0 : Math.min(backoffDoublings + 1, MAX_BACKOFF_DOUBLINGS);
    lastContest = Optional.of(now);
    backoffUntil = now.plus(settings.timings().suspectAfter().multipliedBy(1L << backoffDoublings));
  }

  /** Records that the log rejected this node's claim. */
  void onClaimRefused(Instant now) {
    Instant retry = now.plus(settings.timings().appendRetry());
    backoffUntil = retry.isAfter(backoffUntil) ? retry : backoffUntil;
  }

  /** Appends a claim if the cell is vacant and this node's delay has elapsed. */
  void advance(Step step, Membership membership, List<Successor> line) {
    if (startedAt.isEmpty()) {
      startedAt = Optional.of(step.now());
    }
    if (isHeld(membership, step.now())) {
      vacantSince = Optional.empty();
      return;
    }
    if (vacantSince.isEmpty()) {
      vacantSince = Optional.of(step.now());
    }
    boolean claimPending = pendingRecords.anyMatch(RecordBody.ClaimRecorded.class::isInstance);
    if (!claimPending && !step.now().isBefore(dueAt(membership, step.now()))) {
      pendingRecords.append(
          new RecordBody.ClaimRecorded(
              settings.cell(), settings.node(), settings.incarnation(), cellState.fence(), line),
          step);
    }
  }

  private Instant dueAt(Membership membership, Instant now) {
    Duration stagger = settings.timings().cells().claimStagger().multipliedBy(membership.rank(now));
    Instant vacantFrom = vacantSince.orElse(now);
    boolean backsOff = backoffUntil.isAfter(vacantFrom) && !isHolderClosed(now);
    Duration delay =
        hasNamedSuccessor(membership, now) ? stagger.plus(UNNAMED_NODE_DELAY) : stagger;
    return (backsOff ? backoffUntil : vacantFrom).plus(delay);
  }

  /** Returns whether the succession line has a live member but does not contain this node. */
  private boolean hasNamedSuccessor(Membership membership, Instant now) {
    List<Successor> line = cellState.claim().map(Claim::line).orElse(List.of());
    boolean thisNodeNamed = line.contains(new Successor(settings.node(), settings.incarnation()));
    return !thisNodeNamed
        && line.stream()
            .filter(
                member -> !closedIncarnations.isClosed(member.node(), member.incarnation(), now))
            .anyMatch(member -> membership.isLive(member.node(), now));
  }

  private boolean isHeld(Membership membership, Instant now) {
    if (cellState.claim().isEmpty() || isHolderClosed(now)) {
      return false;
    }
    boolean justStarted =
        now.isBefore(startedAt.orElse(now).plus(settings.timings().suspectAfter()));
    return justStarted || membership.isLive(cellState.claim().get().holder(), now);
  }

  private boolean isHolderClosed(Instant now) {
    return cellState
        .claim()
        .filter(claim -> closedIncarnations.isClosed(claim.holder(), claim.incarnation(), now))
        .isPresent();
  }

  // Accessors

  /** Returns when a claim may become due even if no other event occurs. */
  Optional<Instant> nextWakeUp(Membership membership, Instant now) {
    return vacantSince.map(since -> dueAt(membership, now)).filter(due -> due.isAfter(now));
  }
}
