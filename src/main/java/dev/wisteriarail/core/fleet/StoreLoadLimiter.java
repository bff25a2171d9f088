package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Loads from the weight store: how many may begin, and how many at once are worth it.
 *
 * <p>Beyond some number at once, which the configuration does not name, every load slows down in
 * proportion, so more at once gain nothing. The number is learnt from how long loads take: one more
 * is tried, and only loads that began since then tell whether another one may be.
 *
 * <p>Not thread-safe.
 */
final class StoreLoadLimiter {

  /** Length of the sliding window in which loads are counted. From the platform's settings. */
  private static final Duration WINDOW = Duration.ofSeconds(5);

  /** Loads at once before anything was learnt. */
  private static final int INITIAL_LIMIT = 4;

  /** A load that took this much longer than alone shared the store with too many. */
  private static final double SLOW_RATIO = 1.3;

  /** A load that took at most this much longer than alone was at full speed. */
  private static final double FULL_SPEED_RATIO = 1.15;

  /** Largest number at once that is tried. */
  private static final int MAX_LIMIT = 32;

  private final Deque<Instant> startTimes = new ArrayDeque<>();
  private int limit = INITIAL_LIMIT;
  private Instant limitRaisedAt = Instant.MIN;

  /** Notes loads that began earlier, before any that this node began. */
  void addEarlier(List<Long> agesMillis, Instant now) {
    for (long age : agesMillis.reversed()) {
      startTimes.addFirst(now.minusMillis(age));
    }
  }

  /** Returns the time since each load of the window began, the oldest first. */
  List<Long> agesMillis(Instant now) {
    return startTimes.stream()
        .filter(begin -> !begin.plus(WINDOW).isBefore(now))
        .map(begin -> Duration.between(begin, now).toMillis())
        .toList();
  }

  /** Notes that a load begins. */
  void begin(Instant now) {
    startTimes.addLast(now);
  }

  /**
   * Notes that a load is done.
   *
   * @param duration how long it took
   * @param fullSpeedDuration how long it takes at full speed
   * @param concurrentLoads loads that were under way when it began
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

  /** Returns whether another load may begin under a rate of loads a second. */
  boolean allows(double perSecond, Instant now) {
    while (!startTimes.isEmpty() && startTimes.peekFirst().plus(WINDOW).isBefore(now)) {
      startTimes.removeFirst();
    }
    return startTimes.size() < Math.max(1, Math.floor(perSecond * WINDOW.toSeconds()));
  }

  /** Returns how many loads may be under way at a time. */
  int limit() {
    return limit;
  }
}
