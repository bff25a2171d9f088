package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.util.Optional;

/**
 * A record of the lease on orders, as kept in the platform's store.
 *
 * @param holder the node that wrote it
 * @param incarnation the run of that node
 * @param kind what it says
 * @param fence fencing number under which it was written; 0 in a claim, whose place gives it
 * @param era era of the store as its writer knew it
 * @param heldMillis in a renewal, time for which its writer has known that it holds the lease
 * @param handover in a release, what the next holder has to know
 */
public record LeaseRecord(
    String holder,
    long incarnation,
    Kind kind,
    long fence,
    long era,
    long heldMillis,
    Optional<Handover> handover) {

  /** Stands for a record that cannot be read: its writer may hold the lease. */
  public static final LeaseRecord UNREADABLE = renewal("", 0, 0, 0, Duration.ZERO);

  /** Takes a record of an earlier version, which has no handover. */
  public LeaseRecord {
    handover = handover == null ? Optional.empty() : handover;
  }

  /** Returns a record that takes the lease. */
  public static LeaseRecord claim(String holder, long incarnation, long era) {
    return new LeaseRecord(holder, incarnation, Kind.CLAIM, 0, era, 0, Optional.empty());
  }

  /** Returns a record that keeps the lease. */
  public static LeaseRecord renewal(
      String holder, long incarnation, long fence, long era, Duration held) {
    return new LeaseRecord(
        holder, incarnation, Kind.RENEW, fence, era, held.toMillis(), Optional.empty());
  }

  /** Returns a record that gives the lease up. */
  public static LeaseRecord release(
      String holder, long incarnation, long fence, long era, Handover handover) {
    return new LeaseRecord(holder, incarnation, Kind.RELEASE, fence, era, 0, Optional.of(handover));
  }

  /** What a record says. */
  public enum Kind {
    /** The writer takes the lease; the record's place gives the fencing number. */
    CLAIM,
    /** The writer still holds it. */
    RENEW,
    /** The writer gave it up and gives no more orders. */
    RELEASE
  }
}
