package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;

/**
 * An order that is not known to be complete.
 *
 * @param number the coordinator's number of the order
 * @param body the order
 * @param expectedOrderCount number of orders that the engine had accepted before this one
 * @param sentAt when it was sent
 * @param expectedDoneAt when it should be complete
 * @param accepted whether the engine accepted it
 * @param reservesCapacity whether it reserved capacity that was not reserved before
 */
record OpenOrder(
    long number,
    FleetOrder body,
    long expectedOrderCount,
    Instant sentAt,
    Instant expectedDoneAt,
    boolean accepted,
    boolean reservesCapacity) {

  /** Returns the time until the order should be complete, in milliseconds. */
  long remainingMillis(Instant now) {
    return Math.max(0, Duration.between(now, expectedDoneAt).toMillis());
  }

  OpenOrder withAccepted() {
    return new OpenOrder(
        number, body, expectedOrderCount, sentAt, expectedDoneAt, true, reservesCapacity);
  }
}
