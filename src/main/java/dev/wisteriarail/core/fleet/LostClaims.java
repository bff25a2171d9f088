package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;

/**
 * What a change of the store's era may hide: a claim that was lost with the last records of the era
 * before, and whose holder does not know that yet.
 *
 * <p>Such a holder gives no order later than a lease after the change was seen: by then its next
 * renewal told it of the era, or its lease has run out.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class LostClaims {

  private final Duration lease;
  private final Duration handover;
  private Instant eraSeenAt = Instant.MIN;
  private boolean possible;

  LostClaims(Duration lease, Duration handover) {
    this.lease = lease;
    this.handover = handover;
  }

  /** Notes that an era was seen. */
  void acceptEra(Instant now) {
    eraSeenAt = now;
  }

  /** Notes in which era the newest record that is left was written. */
  void acceptNewestRecord(long writtenInEra, long currentEra) {
    possible = writtenInEra < currentEra;
  }

  /** Returns whether a lost claim's holder may give orders now. */
  boolean mayBeHeld(Instant now) {
    return possible && now.isBefore(eraSeenAt.plus(lease));
  }

  /** Returns whether the orders of such a holder may bind the next one. */
  boolean mayDelayOrders(Instant now) {
    return possible && now.isBefore(ordersFrom());
  }

  /** Returns from when no order of such a holder binds the next one. */
  Instant ordersFrom() {
    return possible ? eraSeenAt.plus(lease).plus(handover) : Instant.MIN;
  }

  /** Returns whether a holder has had the time to claim again in the era. */
  boolean isReclaimPeriodOver(Instant now) {
    return !now.isBefore(eraSeenAt.plus(lease));
  }
}
