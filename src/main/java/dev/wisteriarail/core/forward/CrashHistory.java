package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers requests on which runners crashed, by their fingerprints, across all nodes and
 * attempts.
 *
 * <p>A request may crash every runner that starts to execute it, while its caller sends it again to
 * any node, until no runner is left. After several crashes it is refused on all nodes for a while.
 * Not thread-safe.
 */
public final class CrashHistory {

  /**
   * Number of crashes after which a request is refused; the rules of the platform apply from the
   * third crash on.
   */
  private static final int REFUSAL_THRESHOLD = 3;

  /** Time for which a crash is remembered. */
  private static final Duration RETENTION = Duration.ofMinutes(2);

  /** Maximum number of remembered requests; the oldest is removed first. */
  private static final int MAX_REQUESTS = 2_048;

  private final Map<Long, List<Instant>> crashes =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, List<Instant>> eldest) {
          return size() > MAX_REQUESTS;
        }
      };

  private CrashHistory() {}

  /** Creates an empty history. */
  public static CrashHistory create() {
    return new CrashHistory();
  }

  /** Records that a connection ended while a runner was executing a request. */
  public void recordCrash(long fingerprint, Instant now) {
    List<Instant> times = crashes.computeIfAbsent(fingerprint, key -> new ArrayList<>());
    times.removeIf(time -> now.isAfter(time.plus(RETENTION)));
    times.add(now);
  }

  /** Returns whether a request is refused. */
  public boolean isRefused(long fingerprint, Instant now) {
    return count(fingerprint, now) >= REFUSAL_THRESHOLD;
  }

  /** Returns the number of crashes that are counted for a request. */
  public long count(long fingerprint, Instant now) {
    return crashes.getOrDefault(fingerprint, List.of()).stream()
        .filter(time -> !now.isAfter(time.plus(RETENTION)))
        .count();
  }
}
