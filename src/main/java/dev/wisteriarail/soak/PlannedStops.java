package dev.wisteriarail.soak;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * When nodes got SIGTERM, and which cut requests do not count as lost because of that. All times
 * are those of {@link System#nanoTime}.
 *
 * @param gracePeriod time from SIGTERM until a node must exit
 * @param timesByAddress when the node with a caller address got SIGTERM
 */
record PlannedStops(Duration gracePeriod, Map<String, List<Long>> timesByAddress) {

  /** Time after SIGTERM until which a request must be sent, by the users' rule. */
  private static final Duration SENDING_TIME = Duration.ofSeconds(3);

  /** Time after the grace period in which a node is still considered as stopping. */
  private static final Duration TIME_AFTER_GRACE = Duration.ofSeconds(1);

  /** No node got SIGTERM. */
  static final PlannedStops NONE = new PlannedStops(Duration.ZERO, Map.of());

  /**
   * Returns whether a runner was still at work in the last sixth of the grace period on a request
   * that was sent at most 3 s after SIGTERM and cut in that sixth or later.
   *
   * @param address caller address of the node
   * @param sentAt when the request was sent
   * @param cutAt when its connection was closed
   * @param workEndedAt when the last runner stopped working on it; empty if none did
   */
  boolean excuses(String address, long sentAt, long cutAt, OptionalLong workEndedAt) {
    if (workEndedAt.isEmpty()) {
      return false;
    }
    long lastSixth = gracePeriod.multipliedBy(5).dividedBy(6).toNanos();
    return timesByAddress.getOrDefault(address, List.of()).stream()
        .anyMatch(
            stop ->
                sentAt - stop <= SENDING_TIME.toNanos()
                    && cutAt - stop >= lastSixth
                    && cutAt - stop <= gracePeriod.plus(TIME_AFTER_GRACE).toNanos()
                    && workEndedAt.getAsLong() - stop >= lastSixth);
  }
}
