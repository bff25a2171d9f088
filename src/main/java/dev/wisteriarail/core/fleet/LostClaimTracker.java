package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;

/**
 * Tracks whether a change of the store's era may hide a claim: one that was lost with the last
 * records of the previous era, and whose holder has not detected the loss.
 *
 * <p>Such a holder sends its last order at most one lease duration after the change was seen: by
 * then its next renewal has revealed the new era, or its lease has expired.
 *
 * <p>Life cycle: one per node process. Not thread-safe.
 */
final class LostClaimTracker {

  private final Duration leaseDuration;
  private final Duration handoverDelay;
  private Instant eraSeenAt = Instant.MIN;
  private boolean possible;

  LostClaimTracker(Duration leaseDuration, Duration handoverDelay) {
    this.leaseDuration = leaseDuration;
    this.handoverDelay = handoverDelay;
  }

  /** Records when the current era was first seen. */
  void acceptEra(Instant now) {
    eraSeenAt = now;
  }

  /** Records the era in which the latest remaining record was written. */
  void acceptNewestRecord(long writtenInEra, long currentEra) {
    possible = writtenInEra < currentEra;
  }

  /** Returns whether the holder of a lost claim may still send orders. */
  boolean mayBeHeld(Instant now) {
    return possible && now.isBefore(eraSeenAt.plus(leaseDuration));
  }

  /** Returns whether orders of such a holder may still delay those of the next holder. */
  boolean mayDelayOrders(Instant now) {
    return possible && now.isBefore(ordersFrom());
  }

  /**
   * Returns the time from which orders of such a holder no longer delay those of the next holder.
   */
  Instant ordersFrom() {
    return possible ? eraSeenAt.plus(leaseDuration).plus(handoverDelay) : Instant.MIN;
  }

  /** Returns whether the time for a holder to claim again in the new era is over. */
  boolean isReclaimPeriodOver(Instant now) {
    return !now.isBefore(eraSeenAt.plus(leaseDuration));
  }
}
