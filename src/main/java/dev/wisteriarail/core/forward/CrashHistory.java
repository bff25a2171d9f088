package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests on which runners crashed, by what they ask, over all nodes and tries.
 *
 * <p>The load that it answers: a request crashes each runner that begins to run it, and its caller
 * sends it again and again at any node, until no runner is left. After some crashes it is refused
 * everywhere for a while. Not thread-safe.
 */
public final class CrashHistory {

  /** Crashes after which a request is refused: the platform's rules count from the third on. */
  private static final int REFUSAL_THRESHOLD = 3;

  /** Time for which a crash is remembered. */
  private static final Duration RETENTION = Duration.ofMinutes(2);

  /** Requests remembered; the oldest is forgotten first. */
  private static final int MAX_REQUESTS = 2_048;

  private final Map<Long, List<Instant>> crashes =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, List<Instant>> eldest) {
          return size() > MAX_REQUESTS;
        }
      };

  private CrashHistory() {}

  /** Returns a ledger without crashes. */
  public static CrashHistory create() {
    return new CrashHistory();
  }

  /** Notes that a connection ended while a runner had a request. */
  public void recordCrash(long fingerprint, Instant now) {
    List<Instant> times = crashes.computeIfAbsent(fingerprint, key -> new ArrayList<>());
    times.removeIf(time -> now.isAfter(time.plus(RETENTION)));
    times.add(now);
  }

  /** Returns whether a request is refused. */
  public boolean isRefused(long fingerprint, Instant now) {
    return crashes.getOrDefault(fingerprint, List.of()).stream()
            .filter(time -> !now.isAfter(time.plus(RETENTION)))
            .count()
        >= REFUSAL_THRESHOLD;
  }
}
