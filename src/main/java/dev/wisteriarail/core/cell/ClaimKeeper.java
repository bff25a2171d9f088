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
 * Claims the cell when nobody controls it.
 *
 * <p>A claim is always safe, since the log orders claims and the newest one voids the others; the
 * rules here only keep nodes from claiming needlessly. The holder's silence, a later run of it or
 * its release make a cell vacant; then the node first in rank claims at once and each next one a
 * little later. Where nodes disagree on whether the holder lives, claims follow each other at
 * doubling intervals.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class ClaimKeeper {

  private static final int MAX_DOUBLINGS = 5;
  private static final Duration CALM = Duration.ofMinutes(5);

  /** Time by which a node that was not named lets the named ones claim first. */
  private static final Duration COURTESY = Duration.ofSeconds(2);

  private final NodeSettings settings;
  private final CellLedger ledger;
  private final Closures closures;
  private final PendingRecords pending;
  private Optional<Instant> started = Optional.empty();
  private Optional<Instant> vacantSince = Optional.empty();
  private Optional<Instant> lastContest = Optional.empty();
  private Instant waitUntil = Instant.MIN;
  private int contests;

  private ClaimKeeper(
      NodeSettings settings, CellLedger ledger, Closures closures, PendingRecords pending) {
    this.settings = settings;
    this.ledger = ledger;
    this.closures = closures;
    this.pending = pending;
  }

  static ClaimKeeper create(
      NodeSettings settings, CellLedger ledger, Closures closures, PendingRecords pending) {
    return new ClaimKeeper(settings, ledger, closures, pending);
  }

  // Updates

  /** Notes that a claim replaced one whose holder seems alive from here. */
  void acceptContest(Instant now) {
    boolean calm = lastContest.filter(last -> now.isBefore(last.plus(CALM))).isEmpty();
    contests = calm ? 0 : Math.min(contests + 1, MAX_DOUBLINGS);
    lastContest = Optional.of(now);
    waitUntil = now.plus(settings.timings().suspectAfter().multipliedBy(1L << contests));
  }

  /** Notes that the log did not take a claim. */
  void acceptRefusal(Instant now) {
    Instant retry = now.plus(settings.timings().appendRetry());
    waitUntil = retry.isAfter(waitUntil) ? retry : waitUntil;
  }

  /** Claims the cell if it is due. */
  void advance(Step step, Membership membership, List<Successor> line) {
    if (started.isEmpty()) {
      started = Optional.of(step.now());
    }
    if (isHeld(membership, step.now())) {
      vacantSince = Optional.empty();
      return;
    }
    if (vacantSince.isEmpty()) {
      vacantSince = Optional.of(step.now());
    }
    boolean claiming = pending.any(RecordBody.ClaimRecorded.class::isInstance);
    if (!claiming && !step.now().isBefore(dueAt(membership, step.now()))) {
      pending.append(
          new RecordBody.ClaimRecorded(
              settings.cell(), settings.node(), settings.incarnation(), ledger.fence(), line),
          step);
    }
  }

  private Instant dueAt(Membership membership, Instant now) {
    Duration stagger = settings.timings().cells().claimStagger().multipliedBy(membership.rank(now));
    Instant since = vacantSince.orElse(now);
    boolean waits = waitUntil.isAfter(since) && !isHolderClosed(now);
    Duration courtesy = hasNamedSuccessor(membership, now) ? stagger.plus(COURTESY) : stagger;
    return (waits ? waitUntil : since).plus(courtesy);
  }

  /** Returns whether a live node other than this one was named to succeed the holder. */
  private boolean hasNamedSuccessor(Membership membership, Instant now) {
    List<Successor> line = ledger.claim().map(Claim::line).orElse(List.of());
    boolean named = line.contains(new Successor(settings.node(), settings.incarnation()));
    return !named
        && line.stream()
            .filter(member -> !closures.isClosed(member.node(), member.incarnation(), now))
            .anyMatch(member -> membership.isLive(member.node(), now));
  }

  private boolean isHeld(Membership membership, Instant now) {
    if (ledger.claim().isEmpty() || isHolderClosed(now)) {
      return false;
    }
    boolean isNew = now.isBefore(started.orElse(now).plus(settings.timings().suspectAfter()));
    return isNew || membership.isLive(ledger.claim().get().holder(), now);
  }

  private boolean isHolderClosed(Instant now) {
    return ledger
        .claim()
        .filter(claim -> closures.isClosed(claim.holder(), claim.incarnation(), now))
        .isPresent();
  }

  // Accessors

  /** Returns when a claim may be due without another event. */
  Optional<Instant> nextWakeUp(Membership membership, Instant now) {
    return vacantSince.map(since -> dueAt(membership, now)).filter(due -> due.isAfter(now));
  }
}
