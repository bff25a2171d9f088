package dev.wisteriarail.core.fleet;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The times at which earlier lease holders stopped sending orders, as reported by them. Not
 * thread-safe.
 */
final class StopNotices {

  /** Number of claims for which a notice is kept. */
  private static final int MAX_ENTRIES = 16;

  private final Map<Long, Instant> untilByFence =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Instant> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /** Records the time from which orders under a claim no longer delay a successor. */
  void accept(long fence, Instant until) {
    untilByFence.merge(fence, until, (a, b) -> a.isBefore(b) ? a : b);
  }

  /** Returns the time from which orders under a claim no longer delay a successor, if reported. */
  Optional<Instant> of(long fence) {
    return Optional.ofNullable(untilByFence.get(fence));
  }
}
