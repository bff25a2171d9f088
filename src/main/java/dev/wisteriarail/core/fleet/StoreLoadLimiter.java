package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Limits loads from the weight store: the rate at which they start and the number in progress.
 *
 * <p>Above some number of concurrent loads, which the configuration does not specify, every load
 * slows down in proportion, so that more of them gain nothing. The limit is learned from the
 * duration of loads: it is raised by one, and only loads that started after that can raise it
 * again.
 *
 * <p>Not thread-safe.
 */
final class StoreLoadLimiter {

  /** Length of the sliding window in which loads are counted, as specified by the platform. */
  private static final Duration WINDOW = Duration.ofSeconds(5);

  /** Initial limit, before any load has completed. */
  private static final int INITIAL_LIMIT = 4;

  /** A load slower than at full speed by more than this factor had too many concurrent loads. */
  private static final double SLOW_RATIO = 1.3;

  /** A load slower than at full speed by less than this factor ran at full speed. */
  private static final double FULL_SPEED_RATIO = 1.15;

  /** Upper bound of the limit. */
  private static final int MAX_LIMIT = 32;

  private final Deque<Instant> startTimes = new ArrayDeque<>();
  private int limit = INITIAL_LIMIT;
  private Instant limitRaisedAt = Instant.MIN;

  /** Adds loads that started before any load of this node. */
  void addEarlier(List<Long> agesMillis, Instant now) {
    for (long age : agesMillis.reversed()) {
      startTimes.addFirst(now.minusMillis(age));
    }
  }

  /** Returns the time since the start of each load in the window, the oldest first. */
  List<Long> agesMillis(Instant now) {
    return startTimes.stream()
        .filter(start -> !start.plus(WINDOW).isBefore(now))
        .map(start -> Duration.between(start, now).toMillis())
        .toList();
  }

  /** Records the start of a load. */
  void begin(Instant now) {
    startTimes.addLast(now);
  }

  /**
   * Records the end of a load.
   *
   * @param duration how long it took
   * @param fullSpeedDuration how long it takes at full speed
   * @param concurrentLoads number of loads in progress when it started, including itself
   */
  void finish(Duration duration, Duration fullSpeedDuration, int concurrentLoads, Instant now) {
    double ratio = (double) duration.toMillis() / Math.max(1, fullSpeedDuration.toMillis());
    if (ratio > SLOW_RATIO) {
      limit = Math.max(1, Math.min(limit, (int) Math.round(concurrentLoads / ratio)));
    } else if (ratio < FULL_SPEED_RATIO
        && concurrentLoads >= limit
        && !now.minus(duration).isBefore(limitRaisedAt)) {
      limit = Math.min(MAX_LIMIT, limit + 1);
      limitRaisedAt = now;
    }
  }

  /** Returns whether another load may start under a limit of loads per second. */
  boolean allows(double perSecond, Instant now) {
    while (!startTimes.isEmpty() && startTimes.peekFirst().plus(WINDOW).isBefore(now)) {
      startTimes.removeFirst();
    }
    return startTimes.size() < Math.max(1, Math.floor(perSecond * WINDOW.toSeconds()));
  }

  /** Returns the limit for concurrent loads. */
  int limit() {
    return limit;
  }
}
