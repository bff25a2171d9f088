package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;

/**
 * An order whose end is not known.
 *
 * @param number the coordinator's number of it
 * @param body what was ordered
 * @param expected number of orders that the engine had accepted before
 * @param sentAt when it was sent
 * @param expectedAt when it should be done
 * @param accepted whether the engine said that it carries it out
 * @param takesRoom whether it takes room that was not taken before
 */
record OpenOrder(
    long number,
    FleetOrder body,
    long expected,
    Instant sentAt,
    Instant expectedAt,
    boolean accepted,
    boolean takesRoom) {

  /** Returns the time until it should be done, in milliseconds. */
  long leftMillis(Instant now) {
    return Math.max(0, Duration.between(now, expectedAt).toMillis());
  }

  OpenOrder withAccepted() {
    return new OpenOrder(number, body, expected, sentAt, expectedAt, true, takesRoom);
  }
}
