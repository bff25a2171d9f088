package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * The lease that lets one node at a time give orders to runners.
 *
 * <p>The lease is a chain of records in the platform's store, each appended under the condition
 * that nothing was appended since the record before. The place of the claim is the fencing number
 * of every order under it. A node claims only after nobody renewed for a whole lease, and gives its
 * first order only after every order of its predecessor lies {@link FleetTimings#handover} back.
 *
 * <p>While the store is away nobody can claim. Where runners check fencing numbers the holder then
 * goes on; where they do not, it stops when its lease has run out.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class OrderLease {

  private static final Duration RETRY = Duration.ofMillis(250);

  /** Added to a predecessor's renewal interval: time for its refused renewal to reach it. */
  private static final Duration REFUSAL_MARGIN = Duration.ofMillis(200);

  /** Records that are looked at: their renewals take longer than a handover and its margins. */
  private static final int LAST_RECORDS = 9;

  private enum Phase {
    IDLE,
    LOOKING,
    WAITING,
    CLAIMING,
    HOLDING
  }

  private final String self;
  private final long incarnation;
  private final FleetTimings timings;
  private Phase phase = Phase.IDLE;
  private boolean calling;
  private boolean verifying;
  private boolean unsure;
  private long end;
  private long lookFrom;
  private Instant endSeenAt = Instant.MIN;
  private Instant callStartedAt = Instant.MIN;
  private Instant nextCallAt = Instant.MIN;
  private Instant renewedAt = Instant.MIN;
  private Instant ordersFrom = Instant.MAX;
  private Optional<String> predecessor = Optional.empty();
  private long fence;

  private OrderLease(String self, long incarnation, FleetTimings timings) {
    this.self = self;
    this.incarnation = incarnation;
    this.timings = timings;
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
   */
  public Optional<LeaseCall> advance(boolean wanted, Instant now) {
    if (calling || now.isBefore(nextCallAt)) {
      return Optional.empty();
    }
    if (phase == Phase.HOLDING || phase == Phase.CLAIMING) {
      return verifying ? call(new LeaseCall.Read(end), now) : hold(wanted, now);
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
      case WAITING -> now.isBefore(endSeenAt.plus(timings.lease())) ? Optional.empty() : claim(now);
      default -> Optional.empty();
    };
  }

  private Optional<LeaseCall> hold(boolean wanted, Instant now) {
    if (phase == Phase.CLAIMING) {
      if (wanted) {
        return claim(now);
      }
      phase = Phase.IDLE;
      return Optional.empty();
    }
    if (!wanted) {
      phase = Phase.IDLE;
      fence = 0;
      ordersFrom = Instant.MAX;
      return call(new LeaseCall.Append(end, record(LeaseRecord.Kind.RELEASE)), now);
    }
    if (!unsure && now.isBefore(renewedAt.plus(timings.renew()))) {
      return Optional.empty();
    }
    return call(new LeaseCall.Append(end, record(LeaseRecord.Kind.RENEW)), now);
  }

  private Optional<LeaseCall> claim(Instant now) {
    phase = Phase.CLAIMING;
    return call(new LeaseCall.Append(end, record(LeaseRecord.Kind.CLAIM)), now);
  }

  private LeaseRecord record(LeaseRecord.Kind kind) {
    return new LeaseRecord(self, incarnation, kind);
  }

  private Optional<LeaseCall> call(LeaseCall call, Instant now) {
    calling = true;
    callStartedAt = now;
    return Optional.of(call);
  }

  // Answers

  /** Takes the answer to the call in progress. */
  public void accept(LeaseAnswer answer, Instant now) {
    calling = false;
    switch (answer) {
      case LeaseAnswer.Records records when verifying -> verify(records, now);
      case LeaseAnswer.Records records -> look(records, now);
      case LeaseAnswer.Appended appended -> {
        end = appended.offset() + 1;
        if (phase == Phase.CLAIMING) {
          gain(appended.offset(), now);
        } else if (phase == Phase.HOLDING) {
          renewedAt = callStartedAt;
          unsure = false;
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
    end = records.end();
    endSeenAt = now;
    if (end == 0) {
      predecessor = Optional.empty();
      phase = Phase.CLAIMING;
      return;
    }
    long wanted = Math.max(end - LAST_RECORDS, records.first());
    if (next < end || records.from() > wanted || records.records().isEmpty()) {
      nextCallAt = lookFrom == wanted ? now.plus(RETRY) : now;
      lookFrom = wanted;
    } else {
      acceptLast(records.records());
    }
  }

  /**
   * Takes the last records. Where this VM wrote all of them, no other holder can have given an
   * order within the handover: each lies a renewal after the one before, and a renewal shows that
   * the claim before it was known to its writer.
   */
  private void acceptLast(List<LeaseRecord> records) {
    LeaseRecord last = records.getLast();
    boolean ownLast = last.holder().equals(self);
    boolean ownAll =
        records.size() >= LAST_RECORDS
            && records.stream().allMatch(each -> each.holder().equals(self));
    predecessor = ownAll ? Optional.empty() : Optional.of(last.holder());
    boolean over = ownLast || last.kind() == LeaseRecord.Kind.RELEASE;
    phase = over ? Phase.CLAIMING : Phase.WAITING;
  }

  /** Finds out whether a record of this run stands where another was refused. */
  private void verify(LeaseAnswer.Records records, Instant now) {
    verifying = false;
    List<LeaseRecord> since = records.records();
    boolean whole = records.from() == end && end + since.size() == records.end();
    boolean own =
        whole
            && !since.isEmpty()
            && since.stream()
                .allMatch(each -> each.holder().equals(self) && each.incarnation() == incarnation);
    if (!own) {
      lose();
      return;
    }
    long firstOwn = end;
    end = records.end();
    if (phase == Phase.CLAIMING) {
      gain(firstOwn, now);
    } else {
      renewedAt = callStartedAt;
      unsure = false;
    }
  }

  private void gain(long claimOffset, Instant now) {
    phase = Phase.HOLDING;
    fence = claimOffset + 1;
    renewedAt = callStartedAt;
    unsure = false;
    // A record tells who claimed, not who gave orders: a claim may take effect seconds after its
    // writer gave it up, so one record of this VM does not shorten the wait.
    ordersFrom =
        predecessor.isEmpty()
            ? now
            : now.plus(timings.renew()).plus(REFUSAL_MARGIN).plus(timings.handover());
  }

  // News from elsewhere

  /** Gives the lease up because a higher fencing number is in use. */
  public void lose() {
    phase = Phase.IDLE;
    verifying = false;
    fence = 0;
    lookFrom = 0;
    ordersFrom = Instant.MAX;
  }

  /**
   * Takes the predecessor's own word that it gave orders under its last claim, the last one at a
   * time, and gives none now.
   */
  public void acceptStopped(String node, Instant lastOrderAt, Instant now) {
    if (phase == Phase.HOLDING && predecessor.filter(node::equals).isPresent()) {
      Instant earliest = lastOrderAt.plus(timings.handover()).plus(REFUSAL_MARGIN);
      if (earliest.isBefore(ordersFrom)) {
        ordersFrom = earliest.isBefore(now) ? now : earliest;
      }
    }
  }

  /** Notes that the process stood still: no order goes out before the next renewal. */
  public void suspect() {
    unsure = phase == Phase.HOLDING;
  }

  // Accessors

  /** Returns whether this node holds the lease, as far as it knows. */
  public boolean isHeld() {
    return phase == Phase.HOLDING;
  }

  /** Returns whether an order may go out now. */
  public boolean mayOrder(Instant now) {
    return phase == Phase.HOLDING
        && !unsure
        && !verifying
        && !now.isBefore(ordersFrom)
        && isSafe(now);
  }

  /** Returns how long no order may go out yet, for a lease that is held. */
  public Duration ordersIn(Instant now) {
    return phase == Phase.HOLDING && now.isBefore(ordersFrom)
        ? Duration.between(now, ordersFrom)
        : Duration.ZERO;
  }

  /** Returns whether the lease has not run out, or fencing numbers protect orders after it. */
  public boolean isSafe(Instant now) {
    return timings.fencesEnforced() || now.isBefore(renewedAt.plus(timings.lease()));
  }

  /** Returns the fencing number; 0 if the lease is not held. */
  public long fence() {
    return fence;
  }
}
