package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.LogPosition;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The lease that permits one node at a time to send orders to runners.
 *
 * <p>The lease is a chain of records in the platform's store. Each record is appended on the
 * condition that no other record was appended after its predecessor. The position of the claim is
 * the fencing number of every order under it. A node claims the lease only after a full lease
 * duration without a renewal, or after the holder released it. It sends an order to a runner only
 * when every order of another holder to that runner is at least {@link FleetTimings#handoverDelay}
 * old. A release lists the runners with recent orders; without a release, orders to all runners
 * wait.
 *
 * <p>While the store is unreachable, no node can claim the lease. Where runners check fencing
 * numbers, the holder continues; otherwise it stops when its lease expires.
 *
 * <p>A store that is restored from an older copy begins a new era: claims and releases may be lost,
 * and their positions are assigned again. A holder then claims again before its next order, under a
 * number that the new era makes higher. Every other node assumes that a lost claim may have
 * followed a record of an earlier era: it waits for a lease duration and the handover delay from
 * when it first saw the new era.
 *
 * <p>Life cycle: one per node process. Not thread-safe.
 */
public final class OrderLease {

  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  /**
   * Time by which an order may arrive later than its timeout, because timers fire late and the
   * runner's clock counts from the arrival.
   */
  private static final Duration TRANSIT_MARGIN = Duration.ofMillis(200);

  /** Timeout of an order; a healthy runner responds within milliseconds. */
  private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);

  /** Minimum timeout of an order; with less time until the lease expires, none is sent. */
  private static final Duration MIN_ORDER_TIMEOUT = Duration.ofMillis(50);

  /** Time for which a release whose append is unanswered is not published to peers. */
  private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(200);

  private enum Phase {
    IDLE,
    READING,
    WAITING,
    CLAIMING,
    HOLDING,
    RELEASING
  }

  private final String self;
  private final long incarnation;
  private final FleetTimings timings;
  private final Duration handoverDelay;
  private final OrderPauses pauses;
  private final LostClaimTracker lostClaimTracker;
  private Phase phase = Phase.IDLE;
  private boolean callInProgress;
  private boolean verifying;
  private boolean renewalRequired;
  private LogPosition end = LogPosition.NONE;
  private long readFrom;
  private Instant endSeenAt = Instant.MIN;
  private Instant callStartedAt = Instant.MIN;
  private Instant nextCallAt = Instant.MIN;
  private Instant renewedAt = Instant.MIN;
  private Instant firstAttemptAt = Instant.MAX;
  private Duration quietTimeOfOthers = Duration.ZERO;
  private Instant claimedAt = Instant.MIN;
  private long predecessorFence;
  private Instant predecessorSeenAt = Instant.MIN;
  private LogPosition reportedEnd = LogPosition.NONE;
  private Instant reportedEndAt = Instant.MIN;
  private final StopNotices stopNotices = new StopNotices();
  private Optional<Handover> predecessorHandover = Optional.empty();
  private Instant handoverReadAt = Instant.MIN;
  private Instant successorWaitsUntil = Instant.MIN;
  private long fence;
  private long lastFence;
  private boolean reclaiming;
  private long callEra = -1;

  private OrderLease(String self, long incarnation, FleetTimings timings) {
    this.self = self;
    this.incarnation = incarnation;
    this.timings = timings;
    handoverDelay = timings.handoverDelay().plus(TRANSIT_MARGIN);
    pauses = new OrderPauses(handoverDelay);
    lostClaimTracker = new LostClaimTracker(timings.leaseDuration(), handoverDelay);
  }

  /** Returns a lease that is not held. */
  public static OrderLease create(String self, long incarnation, FleetTimings timings) {
    return new OrderLease(self, incarnation, timings);
  }

  // Progress

  /**
   * Returns the next call to make, if any; its answer goes to {@link #accept}.
   *
   * @param wanted whether this node should hold the lease
   * @param loads supplies the loads to hand over if the lease is released now
   */
  public Optional<LeaseCall> advance(boolean wanted, Supplier<LoadHistory> loads, Instant now) {
    if (phase == Phase.RELEASING && !now.isBefore(callStartedAt.plus(RELEASE_TIMEOUT))) {
      endRelease();
    }
    if (reclaiming && (!wanted || lostClaimTracker.isReclaimPeriodOver(now))) {
      lose();
    }
    if (callInProgress || now.isBefore(nextCallAt)) {
      return Optional.empty();
    }
    if (phase == Phase.HOLDING || phase == Phase.CLAIMING) {
      return verifying
          ? call(new LeaseCall.Read(end.offset()), now)
          : advanceHeld(wanted, loads, now);
    }
    if (!wanted) {
      phase = Phase.IDLE;
      return Optional.empty();
    }
    return switch (phase) {
      case IDLE, READING -> {
        phase = Phase.READING;
        yield call(new LeaseCall.Read(readFrom), now);
      }
      case WAITING -> {
        if (stopNotices.of(predecessorFence).isPresent()
            || !now.isBefore(endSeenAt.plus(timings.leaseDuration()))) {
          yield claim(loads, now);
        }
        if (now.isBefore(callStartedAt.plus(RETRY_DELAY))) {
          yield Optional.empty();
        }
        phase = Phase.READING;
        yield call(new LeaseCall.Read(readFrom), now);
      }
      default -> Optional.empty();
    };
  }

  private Optional<LeaseCall> advanceHeld(
      boolean wanted, Supplier<LoadHistory> loads, Instant now) {
    if (phase == Phase.CLAIMING) {
      if (wanted) {
        return claim(loads, now);
      }
      phase = Phase.IDLE;
      return Optional.empty();
    }
    if (!wanted) {
      phase = Phase.RELEASING;
      successorWaitsUntil = pauses.end();
      Handover newHandover = pauses.createHandover(loads.get(), now);
      return append(LeaseRecord.release(self, incarnation, fence, end.era(), newHandover), now);
    }
    if (!renewalRequired && now.isBefore(renewedAt.plus(timings.renewalInterval()))) {
      return Optional.empty();
    }
    Duration held = Duration.between(claimedAt, now);
    return append(LeaseRecord.renewal(self, incarnation, fence, end.era(), held), now);
  }

  private Optional<LeaseCall> claim(Supplier<LoadHistory> loads, Instant now) {
    phase = Phase.CLAIMING;
    if (reclaiming) {
      predecessorHandover = Optional.of(pauses.createHandover(loads.get(), now));
    }
    return append(LeaseRecord.claim(self, incarnation, end.era()), now);
  }

  private Optional<LeaseCall> append(LeaseRecord record, Instant now) {
    firstAttemptAt = firstAttemptAt.isBefore(now) ? firstAttemptAt : now;
    return call(new LeaseCall.Append(end.offset(), record), now);
  }

  /** Makes a release visible to peers: its record is in the store, or no answer was received. */
  private void endRelease() {
    phase = Phase.IDLE;
    fence = 0;
  }

  private Optional<LeaseCall> call(LeaseCall call, Instant now) {
    callInProgress = true;
    callEra = end.era();
    callStartedAt = now;
    return Optional.of(call);
  }

  // Answers

  /** Handles the answer to the call in progress. */
  public void accept(LeaseAnswer answer, Instant now) {
    callInProgress = false;
    if (phase == Phase.RELEASING) {
      endRelease();
    }
    boolean answered = answer.era() >= 0;
    if (answered && answer.era() < end.era()) {
      nextCallAt = now.plus(RETRY_DELAY);
      return;
    }
    acceptEra(answer.era(), now);
    if (callEra >= 0 && callEra != end.era()) {
      // The call referred to a position of the previous era.
      return;
    }
    switch (answer) {
      case LeaseAnswer.Records records when verifying -> verifyOwnRecords(records, now);
      case LeaseAnswer.Records records -> acceptRecords(records, now);
      case LeaseAnswer.Appended appended -> {
        end = appended.position().plus(1);
        endSeenAt = now;
        firstAttemptAt = Instant.MAX;
        if (phase == Phase.CLAIMING) {
          startHolding(appended.position(), callStartedAt, now);
        } else if (phase == Phase.HOLDING) {
          recordRenewal(callStartedAt);
        }
      }
      case LeaseAnswer.Conflict conflict -> verifying = phase != Phase.IDLE;
      case LeaseAnswer.Failed failed -> nextCallAt = now.plus(RETRY_DELAY);
    }
  }

  private void acceptRecords(LeaseAnswer.Records records, Instant now) {
    if (phase != Phase.READING) {
      return;
    }
    final long next = records.from() + records.records().size();
    if (!records.end().equals(end) || endSeenAt.equals(Instant.MIN)) {
      end = records.end();
      firstAttemptAt = Instant.MAX;
      endSeenAt = end.equals(reportedEnd) ? reportedEndAt : now;
    }
    if (end.offset() == 0) {
      predecessorHandover = Optional.empty();
      lostClaimTracker.acceptNewestRecord(0, end.era());
      phase = reclaiming || !lostClaimTracker.mayBeHeld(now) ? Phase.CLAIMING : Phase.READING;
      nextCallAt = phase == Phase.READING ? now.plus(RETRY_DELAY) : now;
      return;
    }
    if (next < end.offset() || records.records().isEmpty()) {
      nextCallAt = readFrom == end.offset() - 1 ? now.plus(RETRY_DELAY) : now;
      readFrom = end.offset() - 1;
    } else {
      acceptLastRecord(records.records().getLast(), now);
    }
  }

  /**
   * Handles the last record of the log. If it is a renewal by this VM, no other holder has sent an
   * order later than one lease duration after the renewed claim: by then that holder had learned of
   * the claim, or its own lease had expired. A release gives no such guarantee, because it may
   * directly follow its claim.
   */
  private void acceptLastRecord(LeaseRecord last, Instant now) {
    if (reclaiming) {
      if (last.era() < end.era()) {
        phase = Phase.CLAIMING;
      } else {
        lose();
      }
      return;
    }
    lostClaimTracker.acceptNewestRecord(last.era(), end.era());
    predecessorSeenAt = endSeenAt;
    handoverReadAt = now;
    if (lostClaimTracker.mayDelayOrders(now)) {
      quietTimeOfOthers = Duration.ZERO;
      predecessorFence = 0;
      predecessorHandover = Optional.empty();
      boolean claimable = isEnded(last) && !lostClaimTracker.mayBeHeld(now);
      phase = claimable ? Phase.CLAIMING : Phase.WAITING;
      return;
    }
    boolean ownRenewal = last.holder().equals(self) && last.kind() == LeaseRecord.Kind.RENEW;
    quietTimeOfOthers =
        ownRenewal
            ? Duration.ofMillis(last.heldMillis()).minus(timings.leaseDuration())
            : Duration.ZERO;
    predecessorFence = last.kind() == LeaseRecord.Kind.CLAIM ? end.plus(-1).fence() : last.fence();
    predecessorHandover = last.handover();
    phase = isEnded(last) ? Phase.CLAIMING : Phase.WAITING;
  }

  private boolean isEnded(LeaseRecord last) {
    return last.holder().equals(self) || last.kind() == LeaseRecord.Kind.RELEASE;
  }

  /** Checks, after a conflicting append, whether the conflicting records are those of this run. */
  private void verifyOwnRecords(LeaseAnswer.Records records, Instant now) {
    verifying = false;
    List<LeaseRecord> since = records.records();
    // A release whose answer was lost may be at the position at which this node claims again.
    LeaseRecord.Kind expected =
        phase == Phase.CLAIMING ? LeaseRecord.Kind.CLAIM : LeaseRecord.Kind.RENEW;
    boolean complete =
        records.from() == end.offset() && end.plus(since.size()).equals(records.end());
    boolean own =
        complete
            && !since.isEmpty()
            && since.stream()
                .allMatch(
                    record -> record.holder().equals(self) && record.incarnation() == incarnation)
            && since.getFirst().kind() == expected;
    if (!own) {
      lose();
      return;
    }
    final Instant writtenFrom = firstAttemptAt;
    LogPosition firstOwn = end;
    end = records.end();
    firstAttemptAt = Instant.MAX;
    if (phase == Phase.CLAIMING) {
      startHolding(firstOwn, writtenFrom, now);
    } else {
      recordRenewal(writtenFrom);
    }
  }

  /**
   * Records a renewal. Other nodes count the lease from when the record was written. The lease is
   * therefore valid from the start of the call that may have written the record, and not from when
   * the record was found.
   */
  private void recordRenewal(Instant writtenFrom) {
    renewedAt = writtenFrom;
    renewalRequired = false;
  }

  private void startHolding(LogPosition claimed, Instant writtenFrom, Instant now) {
    phase = Phase.HOLDING;
    fence = claimed.fence();
    lastFence = fence;
    recordRenewal(writtenFrom);
    claimedAt = now;
    if (reclaiming) {
      reclaiming = false;
      return;
    }
    if (claimed.offset() == 0) {
      pauses.reset(now);
    } else if (predecessorHandover.isPresent()) {
      pauses.reset(predecessorHandover.get(), handoverReadAt);
    } else {
      pauses.reset(ordersFrom(now));
      pauses.recordEarlierRun(now.plus(handoverDelay));
      stopNotices.of(predecessorFence).ifPresent(pauses::shorten);
    }
    pauses.extend(lostClaimTracker.ordersFrom());
  }

  /**
   * Returns the time from which orders may be sent after a holder that gave no stop notice. It sent
   * its last order before its lease expired, and that lease began no later than its last record was
   * seen. A record shows who claimed, but not who sent orders: a claim may take effect seconds
   * after its writer gave up on it. A single record of this VM therefore does not shorten the wait.
   */
  private Instant ordersFrom(Instant now) {
    Instant lastOrder =
        quietTimeOfOthers.isPositive()
            ? now.minus(quietTimeOfOthers)
            : now.plus(timings.renewalInterval());
    Instant leaseEnd = predecessorSeenAt.plus(timings.leaseDuration());
    return (leaseEnd.isBefore(lastOrder) ? leaseEnd : lastOrder).plus(handoverDelay);
  }

  // Updates from the store and peers

  /**
   * Handles the end of the lease log that the holder reports in its heartbeat. All records before
   * it are written by now, so the holder's lease can be counted from this time.
   */
  public void acceptReportedEnd(LogPosition holderEnd, Instant now) {
    acceptEra(holderEnd.era(), now);
    if (reportedEnd.before(holderEnd)) {
      reportedEnd = holderEnd;
      reportedEndAt = now;
    }
  }

  /**
   * Handles the store's era, as seen in an answer or reported by a peer.
   *
   * @return whether the era is new
   */
  public boolean acceptEra(long era, Instant now) {
    if (era <= end.era()) {
      return false;
    }
    boolean held = phase == Phase.HOLDING && isSafe(now);
    if (phase == Phase.HOLDING && !held) {
      lose();
    }
    reclaiming |= held;
    end = LogPosition.of(era, -1);
    lostClaimTracker.acceptEra(now);
    endSeenAt = Instant.MIN;
    firstAttemptAt = Instant.MAX;
    readFrom = 0;
    verifying = false;
    if (phase != Phase.IDLE && phase != Phase.RELEASING) {
      phase = Phase.READING;
    }
    return true;
  }

  /**
   * Gives up the lease without a release, for example because a higher fencing number is in use.
   */
  public void lose() {
    if (isHeld()) {
      successorWaitsUntil = pauses.end();
    }
    reclaiming = false;
    phase = Phase.IDLE;
    verifying = false;
    fence = 0;
    readFrom = 0;
  }

  /**
   * Handles the notice of a node that it sends no orders.
   *
   * @param stoppedFence the fencing number of its last claim; the notice applies only if no other
   *     claim lies between that claim and the one of this node
   * @param waitMillis time until its successor may send orders to every runner
   */
  public void acceptStopNotice(long stoppedFence, long waitMillis, Instant now) {
    Instant until = now.plusMillis(waitMillis);
    stopNotices.accept(stoppedFence, until);
    if (phase == Phase.HOLDING && stoppedFence == predecessorFence) {
      pauses.shorten(until);
    }
  }

  /**
   * Records an order that is being sent. Where runners check no fencing numbers, it is given up
   * when the lease expires: a successor counts the handover delay from then.
   *
   * @return the order's timeout
   */
  public Duration recordOrder(String runner, long number, Instant now) {
    Duration leaseLeft = Duration.between(now, leaseEnd());
    Duration timeout =
        timings.fencingEnforced() || leaseLeft.compareTo(ORDER_TIMEOUT) > 0
            ? ORDER_TIMEOUT
            : leaseLeft;
    pauses.recordOrder(runner, number, now.plus(timeout));
    return timeout;
  }

  /** Records that an order was answered or given up, and does not reach its runner any more. */
  public void recordOrderCompleted(String runner, long number, Instant now) {
    pauses.recordOrderCompleted(runner, number, now);
  }

  /** Requires a renewal before the next order, because the process was paused. */
  public void requireRenewal() {
    renewalRequired = phase == Phase.HOLDING;
  }

  // Accessors

  /** Returns whether this node holds the lease, as far as it knows. */
  public boolean isHeld() {
    return phase == Phase.HOLDING || reclaiming;
  }

  /** Returns whether orders may be sent now to runners without an individual pause. */
  public boolean mayOrder(Instant now) {
    return phase == Phase.HOLDING
        && !renewalRequired
        && !verifying
        && !now.isBefore(pauses.from())
        && isSafe(now.plus(MIN_ORDER_TIMEOUT));
  }

  /** Returns whether an order to a runner may be sent now. */
  public boolean mayOrder(String runner, Instant now) {
    return mayOrder(now) && pauses.allows(runner, now);
  }

  /** Returns the time until orders may be sent, for a lease that is held. */
  public Duration timeUntilOrders(Instant now) {
    return phase == Phase.HOLDING && now.isBefore(pauses.from())
        ? Duration.between(now, pauses.from())
        : Duration.ZERO;
  }

  /** Returns whether the lease has not expired, or fencing numbers protect orders after that. */
  public boolean isSafe(Instant now) {
    return timings.fencingEnforced() || now.isBefore(leaseEnd());
  }

  /** Returns whether the lease is held and no other node can have gained it since its renewal. */
  public boolean isExclusive(Instant now) {
    return isHeld() && !renewalRequired && now.isBefore(leaseEnd());
  }

  private Instant leaseEnd() {
    return renewedAt.plus(timings.leaseDuration());
  }

  /** Returns the end of the lease log, as far as this node knows. */
  public LogPosition end() {
    return end;
  }

  /** Returns the fencing number; 0 if the lease is not held and no release is in progress. */
  public long fence() {
    return fence;
  }

  /** Returns the fencing number of the last claim that took effect; 0 if there was none. */
  public long lastFence() {
    return lastFence;
  }

  /**
   * Returns, for a lease that is not held, how long a successor has to wait because of this node.
   */
  public Duration successorWait(Instant now) {
    return successorWaitsUntil.isAfter(now)
        ? Duration.between(now, successorWaitsUntil)
        : Duration.ZERO;
  }

  /** Returns the loads that the predecessor listed when it released the lease. */
  public LoadHistory predecessorLoads() {
    return predecessorHandover.map(Handover::loads).orElse(LoadHistory.NONE);
  }

  /** Returns whether, according to the predecessor, a runner received no order recently. */
  public boolean hasNoRecentOrders(String runner) {
    return predecessorHandover
        .filter(it -> it.quietMillis() == 0)
        .filter(it -> !it.runnerQuietMillis().containsKey(runner))
        .isPresent();
  }
}
