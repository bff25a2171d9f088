package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;

/**
 * An order whose end is not known.
 *
 * @param number the coordinator's number of it
 * @param body what was ordered
 * @param expectedOrderCount number of orders that the engine had accepted before
 * @param sentAt when it was sent
 * @param expectedDoneAt when it should be done
 * @param accepted whether the engine said that it carries it out
 * @param reservesCapacity whether it takes room that was not taken before
 */
record OpenOrder(
    long number,
    FleetOrder body,
    long expectedOrderCount,
    Instant sentAt,
    Instant expectedDoneAt,
    boolean accepted,
    boolean reservesCapacity) {

  /** Returns the time until it should be done, in milliseconds. */
  long remainingMillis(Instant now) {
    return Math.max(0, Duration.between(now, expectedDoneAt).toMillis());
  }

  OpenOrder withAccepted() {
    return new OpenOrder(
        number, body, expectedOrderCount, sentAt, expectedDoneAt, true, reservesCapacity);
  }
}
