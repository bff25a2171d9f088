package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.util.Optional;

/**
 * A record of the order lease in the platform's store.
 *
 * @param holder the node that wrote it
 * @param incarnation the incarnation of that node
 * @param kind the kind of the record
 * @param fence fencing number under which it was written; 0 in a claim, whose position determines
 *     it
 * @param era era of the store that the writer knew
 * @param heldMillis in a renewal, time for which the writer has known that it holds the lease
 * @param handover in a release, the information for the next holder
 */
public record LeaseRecord(
    String holder,
    long incarnation,
    Kind kind,
    long fence,
    long era,
    long heldMillis,
    Optional<Handover> handover) {

  /** Replaces a record that cannot be read: its writer may hold the lease. */
  public static final LeaseRecord UNREADABLE = renewal("", 0, 0, 0, Duration.ZERO);

  /** Accepts records of earlier versions, which have no handover. */
  public LeaseRecord {
    handover = handover == null ? Optional.empty() : handover;
  }

  /** Returns a record that claims the lease. */
  public static LeaseRecord claim(String holder, long incarnation, long era) {
    return new LeaseRecord(holder, incarnation, Kind.CLAIM, 0, era, 0, Optional.empty());
  }

  /** Returns a record that renews the lease. */
  public static LeaseRecord renewal(
      String holder, long incarnation, long fence, long era, Duration held) {
    return new LeaseRecord(
        holder, incarnation, Kind.RENEW, fence, era, held.toMillis(), Optional.empty());
  }

  /** Returns a record that releases the lease. */
  public static LeaseRecord release(
      String holder, long incarnation, long fence, long era, Handover handover) {
    return new LeaseRecord(holder, incarnation, Kind.RELEASE, fence, era, 0, Optional.of(handover));
  }

  /** The kind of a record. */
  public enum Kind {
    /** The writer claims the lease; the position of the record determines the fencing number. */
    CLAIM,
    /** The writer still holds the lease. */
    RENEW,
    /** The writer released the lease and sends no more orders. */
    RELEASE
  }
}
