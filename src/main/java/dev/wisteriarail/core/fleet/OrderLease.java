package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.LogPosition;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The lease that lets one node at a time give orders to runners.
 *
 * <p>The lease is a chain of records in the platform's store, each appended under the condition
 * that nothing was appended since the record before. The place of the claim is the fencing number
 * of every order under it. A node claims only after nobody renewed for a whole lease or the holder
 * released it, and orders a runner only after every order of another holder to that runner lies
 * {@link FleetTimings#handover} back. A release says which runners those are; without one, all
 * runners wait.
 *
 * <p>While the store is away nobody can claim. Where runners check fencing numbers the holder then
 * goes on; where they do not, it stops when its lease has run out.
 *
 * <p>A store that comes back from an older copy begins a new era: claims and releases may be lost,
 * and their places are given out again. A holder then claims anew before its next order, under a
 * number that the era makes higher. Any other node takes a record of an earlier era for one that a
 * lost claim may have followed: it waits for a lease and the handover from when it saw the era.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class OrderLease {

  private static final Duration RETRY = Duration.ofMillis(250);

  /** Time that an answer or an order may be under way. */
  private static final Duration TRANSIT_MARGIN = Duration.ofMillis(200);

  /** Time for which a release without an answer is kept from the peers. */
  private static final Duration RELEASE_PATIENCE = Duration.ofMillis(200);

  private enum Phase {
    IDLE,
    LOOKING,
    WAITING,
    CLAIMING,
    HOLDING,
    RELEASING
  }

  private final String self;
  private final long incarnation;
  private final FleetTimings timings;
  private final Duration handover;
  private final OrderPauses pauses;
  private final LostClaims lostClaims;
  private Phase phase = Phase.IDLE;
  private boolean calling;
  private boolean verifying;
  private boolean unsure;
  private LogPosition end = LogPosition.NONE;
  private long lookFrom;
  private Instant endSeenAt = Instant.MIN;
  private Instant callStartedAt = Instant.MIN;
  private Instant nextCallAt = Instant.MIN;
  private Instant renewedAt = Instant.MIN;
  private Instant firstTriedAt = Instant.MAX;
  private Duration othersQuiet = Duration.ZERO;
  private Instant claimedAt = Instant.MIN;
  private long predecessorFence;
  private Instant predecessorSeenAt = Instant.MIN;
  private LogPosition heardEnd = LogPosition.NONE;
  private Instant heardEndAt = Instant.MIN;
  private final StopWords stopWords = new StopWords();
  private Optional<Handover> left = Optional.empty();
  private Instant leftReadAt = Instant.MIN;
  private Instant quietUntil = Instant.MIN;
  private long fence;
  private long lastFence;
  private boolean regaining;
  private long calledIn = -1;

  private OrderLease(String self, long incarnation, FleetTimings timings) {
    this.self = self;
    this.incarnation = incarnation;
    this.timings = timings;
    handover = timings.handover().plus(TRANSIT_MARGIN);
    pauses = new OrderPauses(handover);
    lostClaims = new LostClaims(timings.lease(), handover);
  }

  /** Returns a lease that is not held. */
  public static OrderLease create(String self, long incarnation, FleetTimings timings) {
    return new OrderLease(self, incarnation, timings);
  }

  // Progress

  /**
   * Returns the next call to make; its answer goes to {@link #accept}.
   *
   * @param wanted whether this node should hold the lease
   * @param loads what a successor has to know of loads if the lease is given up now
   */
  public Optional<LeaseCall> advance(boolean wanted, Supplier<LoadHistory> loads, Instant now) {
    if (phase == Phase.RELEASING && !now.isBefore(callStartedAt.plus(RELEASE_PATIENCE))) {
      endRelease();
    }
    if (regaining && (!wanted || lostClaims.isOver(now))) {
      lose();
    }
    if (calling || now.isBefore(nextCallAt)) {
      return Optional.empty();
    }
    if (phase == Phase.HOLDING || phase == Phase.CLAIMING) {
      return verifying ? call(new LeaseCall.Read(end.offset()), now) : hold(wanted, loads, now);
    }
    if (!wanted) {
      phase = Phase.IDLE;
      return Optional.empty();
    }
    return switch (phase) {
      case IDLE, LOOKING -> {
        phase = Phase.LOOKING;
        yield call(new LeaseCall.Read(lookFrom), now);
      }
      case WAITING -> {
        if (stopWords.of(predecessorFence).isPresent()
            || !now.isBefore(endSeenAt.plus(timings.lease()))) {
          yield claim(loads, now);
        }
        if (now.isBefore(callStartedAt.plus(RETRY))) {
          yield Optional.empty();
        }
        phase = Phase.LOOKING;
        yield call(new LeaseCall.Read(lookFrom), now);
      }
      default -> Optional.empty();
    };
  }

  private Optional<LeaseCall> hold(boolean wanted, Supplier<LoadHistory> loads, Instant now) {
    if (phase == Phase.CLAIMING) {
      if (wanted) {
        return claim(loads, now);
      }
      phase = Phase.IDLE;
      return Optional.empty();
    }
    if (!wanted) {
      phase = Phase.RELEASING;
      quietUntil = pauses.end();
      Handover handover = pauses.leave(loads.get(), now);
      return append(LeaseRecord.release(self, incarnation, fence, end.era(), handover), now);
    }
    if (!unsure && now.isBefore(renewedAt.plus(timings.renew()))) {
      return Optional.empty();
    }
    Duration held = Duration.between(claimedAt, now);
    return append(LeaseRecord.renewal(self, incarnation, fence, end.era(), held), now);
  }

  private Optional<LeaseCall> claim(Supplier<LoadHistory> loads, Instant now) {
    phase = Phase.CLAIMING;
    if (regaining) {
      left = Optional.of(pauses.leave(loads.get(), now));
    }
    return append(LeaseRecord.claim(self, incarnation, end.era()), now);
  }

  private Optional<LeaseCall> append(LeaseRecord record, Instant now) {
    firstTriedAt = firstTriedAt.isBefore(now) ? firstTriedAt : now;
    return call(new LeaseCall.Append(end.offset(), record), now);
  }

  /** Lets the peers know of a release: its record is in the store, or no answer came. */
  private void endRelease() {
    phase = Phase.IDLE;
    fence = 0;
  }

  private Optional<LeaseCall> call(LeaseCall call, Instant now) {
    calling = true;
    calledIn = end.era();
    callStartedAt = now;
    return Optional.of(call);
  }

  // Answers

  /** Takes the answer to the call in progress. */
  public void accept(LeaseAnswer answer, Instant now) {
    calling = false;
    if (phase == Phase.RELEASING) {
      endRelease();
    }
    boolean answered = answer.era() >= 0;
    if (answered && answer.era() < end.era()) {
      nextCallAt = now.plus(RETRY);
      return;
    }
    acceptEra(answer.era(), now);
    if (calledIn >= 0 && calledIn != end.era()) {
      // The call named a place of the era before.
      return;
    }
    switch (answer) {
      case LeaseAnswer.Records records when verifying -> verify(records, now);
      case LeaseAnswer.Records records -> look(records, now);
      case LeaseAnswer.Appended appended -> {
        end = appended.place().plus(1);
        endSeenAt = now;
        firstTriedAt = Instant.MAX;
        if (phase == Phase.CLAIMING) {
          gain(appended.place(), callStartedAt, now);
        } else if (phase == Phase.HOLDING) {
          renew(callStartedAt);
        }
      }
      case LeaseAnswer.Overtaken overtaken -> verifying = phase != Phase.IDLE;
      case LeaseAnswer.Failed failed -> nextCallAt = now.plus(RETRY);
    }
  }

  private void look(LeaseAnswer.Records records, Instant now) {
    if (phase != Phase.LOOKING) {
      return;
    }
    final long next = records.from() + records.records().size();
    if (!records.end().equals(end) || endSeenAt.equals(Instant.MIN)) {
      end = records.end();
      firstTriedAt = Instant.MAX;
      endSeenAt = end.equals(heardEnd) ? heardEndAt : now;
    }
    if (end.offset() == 0) {
      left = Optional.empty();
      lostClaims.acceptNewest(0, end.era());
      phase = regaining || !lostClaims.mayBeHeld(now) ? Phase.CLAIMING : Phase.LOOKING;
      nextCallAt = phase == Phase.LOOKING ? now.plus(RETRY) : now;
      return;
    }
    if (next < end.offset() || records.records().isEmpty()) {
      nextCallAt = lookFrom == end.offset() - 1 ? now.plus(RETRY) : now;
      lookFrom = end.offset() - 1;
    } else {
      acceptLast(records.records().getLast(), now);
    }
  }

  /**
   * Takes the last record. Where it is a renewal of this VM, no other holder has given an order
   * since a lease after the claim that it renews: it had learnt of that claim by then, or its own
   * lease had run out. A release may follow its claim at once.
   */
  private void acceptLast(LeaseRecord last, Instant now) {
    if (regaining) {
      if (last.era() < end.era()) {
        phase = Phase.CLAIMING;
      } else {
        lose();
      }
      return;
    }
    lostClaims.acceptNewest(last.era(), end.era());
    predecessorSeenAt = endSeenAt;
    leftReadAt = now;
    if (lostClaims.mayBind(now)) {
      othersQuiet = Duration.ZERO;
      predecessorFence = 0;
      left = Optional.empty();
      boolean free = isOver(last) && !lostClaims.mayBeHeld(now);
      phase = free ? Phase.CLAIMING : Phase.WAITING;
      return;
    }
    boolean ownRenewal = last.holder().equals(self) && last.kind() == LeaseRecord.Kind.RENEW;
    othersQuiet =
        ownRenewal ? Duration.ofMillis(last.heldMillis()).minus(timings.lease()) : Duration.ZERO;
    predecessorFence = last.kind() == LeaseRecord.Kind.CLAIM ? end.plus(-1).fence() : last.fence();
    left = last.handover();
    phase = isOver(last) ? Phase.CLAIMING : Phase.WAITING;
  }

  private boolean isOver(LeaseRecord last) {
    return last.holder().equals(self) || last.kind() == LeaseRecord.Kind.RELEASE;
  }

  /** Finds out whether a record of this run stands where another was refused. */
  private void verify(LeaseAnswer.Records records, Instant now) {
    verifying = false;
    List<LeaseRecord> since = records.records();
    // A release whose answer was lost may lie where this node claims again.
    LeaseRecord.Kind expected =
        phase == Phase.CLAIMING ? LeaseRecord.Kind.CLAIM : LeaseRecord.Kind.RENEW;
    boolean whole = records.from() == end.offset() && end.plus(since.size()).equals(records.end());
    boolean own =
        whole
            && !since.isEmpty()
            && since.stream()
                .allMatch(each -> each.holder().equals(self) && each.incarnation() == incarnation)
            && since.getFirst().kind() == expected;
    if (!own) {
      lose();
      return;
    }
    final Instant writtenFrom = firstTriedAt;
    LogPosition firstOwn = end;
    end = records.end();
    firstTriedAt = Instant.MAX;
    if (phase == Phase.CLAIMING) {
      gain(firstOwn, writtenFrom, now);
    } else {
      renew(writtenFrom);
    }
  }

  /**
   * Notes a renewal. Others count from when its record was written, so it holds from when the call
   * began that may have written it, and not from when the record was found.
   */
  private void renew(Instant writtenFrom) {
    renewedAt = writtenFrom;
    unsure = false;
  }

  private void gain(LogPosition claimed, Instant writtenFrom, Instant now) {
    phase = Phase.HOLDING;
    fence = claimed.fence();
    lastFence = fence;
    renew(writtenFrom);
    claimedAt = now;
    if (regaining) {
      regaining = false;
      return;
    }
    if (claimed.offset() == 0) {
      pauses.begin(now);
    } else if (left.isPresent()) {
      pauses.begin(left.get(), leftReadAt);
    } else {
      pauses.begin(ordersFrom(now));
      pauses.noteEarlierRun(now.plus(handover));
      stopWords.of(predecessorFence).ifPresent(pauses::shorten);
    }
    pauses.extend(lostClaims.ordersFrom());
  }

  /**
   * Returns from when orders may go out after a holder that left no word. It gave its last order
   * before its lease ran out, which began no later than its last record was seen. A record tells
   * who claimed, not who gave orders: a claim may take effect seconds after its writer gave it up,
   * so one record of this VM does not shorten the wait.
   */
  private Instant ordersFrom(Instant now) {
    Instant lastOrder =
        othersQuiet.isPositive() ? now.minus(othersQuiet) : now.plus(timings.renew());
    Instant leaseEnd = predecessorSeenAt.plus(timings.lease());
    return (leaseEnd.isBefore(lastOrder) ? leaseEnd : lastOrder).plus(handover);
  }

  // News from elsewhere

  /**
   * Takes from the holder's heartbeat how far the log of the lease reached: nothing was written
   * before it that is not known by now.
   */
  public void acceptEnd(LogPosition holdersEnd, Instant now) {
    acceptEra(holdersEnd.era(), now);
    if (heardEnd.before(holdersEnd)) {
      heardEnd = holdersEnd;
      heardEndAt = now;
    }
  }

  /**
   * Takes the store's era, from an answer or a peer.
   *
   * @return whether it is a new one
   */
  public boolean acceptEra(long era, Instant now) {
    if (era <= end.era()) {
      return false;
    }
    boolean held = phase == Phase.HOLDING && isSafe(now);
    if (phase == Phase.HOLDING && !held) {
      lose();
    }
    regaining |= held;
    end = LogPosition.of(era, -1);
    lostClaims.acceptEra(now);
    endSeenAt = Instant.MIN;
    firstTriedAt = Instant.MAX;
    lookFrom = 0;
    verifying = false;
    if (phase != Phase.IDLE && phase != Phase.RELEASING) {
      phase = Phase.LOOKING;
    }
    return true;
  }

  /** Gives the lease up because a higher fencing number is in use. */
  public void lose() {
    if (isHeld()) {
      quietUntil = pauses.end();
    }
    regaining = false;
    phase = Phase.IDLE;
    verifying = false;
    fence = 0;
    lookFrom = 0;
  }

  /**
   * Takes the word of a node that gives no orders now.
   *
   * @param itsFence the fencing number of its last claim; it counts only if nobody claimed between
   *     that claim and the one of this node
   * @param quietMillis time in which its successor may not order every runner
   */
  public void acceptStopped(long itsFence, long quietMillis, Instant now) {
    Instant until = now.plusMillis(quietMillis);
    stopWords.accept(itsFence, until);
    if (phase == Phase.HOLDING && itsFence == predecessorFence) {
      pauses.shorten(until);
    }
  }

  /** Notes an order that goes out now. */
  public void noteOrder(String runner, Instant now) {
    pauses.note(runner, now);
  }

  /** Notes that the process stood still: no order goes out before the next renewal. */
  public void suspect() {
    unsure = phase == Phase.HOLDING;
  }

  // Accessors

  /** Returns whether this node holds the lease, as far as it knows. */
  public boolean isHeld() {
    return phase == Phase.HOLDING || regaining;
  }

  /** Returns whether orders may go out now to runners that are not kept for the predecessor. */
  public boolean mayOrder(Instant now) {
    return phase == Phase.HOLDING
        && !unsure
        && !verifying
        && !now.isBefore(pauses.from())
        && isSafe(now);
  }

  /** Returns whether an order to a runner may go out now. */
  public boolean mayOrder(String runner, Instant now) {
    return mayOrder(now) && pauses.allows(runner, now);
  }

  /** Returns how long no order may go out yet, for a lease that is held. */
  public Duration ordersIn(Instant now) {
    return phase == Phase.HOLDING && now.isBefore(pauses.from())
        ? Duration.between(now, pauses.from())
        : Duration.ZERO;
  }

  /** Returns whether the lease has not run out, or fencing numbers protect orders after it. */
  public boolean isSafe(Instant now) {
    return timings.fencesEnforced() || now.isBefore(renewedAt.plus(timings.lease()));
  }

  /** Returns how far the log of the lease reaches, as far as this node knows. */
  public LogPosition end() {
    return end;
  }

  /** Returns the fencing number; 0 if the lease is not held and no release is under way. */
  public long fence() {
    return fence;
  }

  /** Returns the fencing number of the last claim that took effect; 0 if there was none. */
  public long lastFence() {
    return lastFence;
  }

  /** Returns, for a lease that is not held, how long a successor has to wait for this node. */
  public Duration quietFor(Instant now) {
    return quietUntil.isAfter(now) ? Duration.between(now, quietUntil) : Duration.ZERO;
  }

  /** Returns the loads that the predecessor named when it released the lease. */
  public LoadHistory leftLoads() {
    return left.map(Handover::loads).orElse(LoadHistory.NONE);
  }

  /** Returns whether the predecessor says that nobody ordered a runner lately. */
  public boolean isKnownQuiet(String runner) {
    return left.filter(it -> it.quietMillis() == 0)
        .filter(it -> !it.runnerQuietMillis().containsKey(runner))
        .isPresent();
  }
}
