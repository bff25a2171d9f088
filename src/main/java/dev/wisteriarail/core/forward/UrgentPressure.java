package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers which ranks had requests waiting or refused recently, for each service and model.
 *
 * <p>Load: urgent requests arrive one at a time at each node. A slot that becomes free between two
 * of them would go to a less urgent request that has waited for it.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class UrgentPressure {

  /**
   * Time for which a waiting or refused request counts: about the time in which a refused caller
   * returns, and half of the time for which an urgent one waits.
   */
  private static final Duration MEMORY = Duration.ofSeconds(1);

  private final Map<String, Map<Integer, Instant>> lastByTarget = new HashMap<>();

  private UrgentPressure() {}

  /** Creates an empty memory. */
  public static UrgentPressure create() {
    return new UrgentPressure();
  }

  /** Records that a request of a rank waits or is refused. */
  public void record(String target, int rank, Instant now) {
    lastByTarget.computeIfAbsent(target, key -> new HashMap<>()).put(rank, now);
  }

  /** Returns whether a request of a more urgent rank waited or was refused in the last second. */
  public boolean isAbove(String target, int rank, Instant now) {
    for (Map.Entry<Integer, Instant> last :
        lastByTarget.getOrDefault(target, Map.of()).entrySet()) {
      if (last.getKey() < rank && !last.getValue().plus(MEMORY).isBefore(now)) {
        return true;
      }
    }
    return false;
  }

  /** Forgets what counts no longer. */
  public void advance(Instant now) {
    lastByTarget.values().forEach(ranks -> ranks.values().removeIf(last -> isOver(last, now)));
    lastByTarget.values().removeIf(Map::isEmpty);
  }

  private static boolean isOver(Instant last, Instant now) {
    return last.plus(MEMORY).isBefore(now);
  }
}
