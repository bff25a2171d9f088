package dev.wisteriarail.core.fleet;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** What earlier holders of the lease said of when they gave their last orders. Not thread-safe. */
final class StopNotices {

  /** Claims whose holder said that it stopped that are remembered. */
  private static final int MAX_ENTRIES = 16;

  private final Map<Long, Instant> untilByFence =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Instant> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /** Takes from when orders of the holder of a claim bind nobody. */
  void accept(long fence, Instant until) {
    untilByFence.merge(fence, until, (a, b) -> a.isBefore(b) ? a : b);
  }

  /** Returns from when orders of the holder of a claim bind nobody, if it said so. */
  Optional<Instant> of(long fence) {
    return Optional.ofNullable(untilByFence.get(fence));
  }
}
