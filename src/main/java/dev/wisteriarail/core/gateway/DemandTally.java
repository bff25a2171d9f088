package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.DemandKey;
import dev.wisteriarail.core.fleet.ModelDemand;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts what one node's callers want of each model and adapter, for the coordinator.
 *
 * <p>Not thread-safe.
 */
final class DemandTally {

  /** Time after its expected return for which a refused caller still counts. */
  private static final Duration RETURN_GRACE = Duration.ofMillis(500);

  /** Time for which a changed count is told again, in case a report is lost. */
  private static final Duration REPEAT = Duration.ofSeconds(2);

  private final Map<DemandKey, Long> arrivals = new TreeMap<>();
  private final Map<DemandKey, Instant> changedAt = new HashMap<>();
  private final Map<DemandKey, List<Instant>> returns = new HashMap<>();

  private DemandTally() {}

  static DemandTally create() {
    return new DemandTally();
  }

  void countArrival(PendingForward forward) {
    if (forward.model().isEmpty()) {
      return;
    }
    count(DemandKey.of(forward.service(), forward.model()), forward.arrivedAt());
    if (!forward.adapter().isEmpty()) {
      count(keyOf(forward), forward.arrivedAt());
    }
  }

  private void count(DemandKey key, Instant now) {
    arrivals.merge(key, 1L, Long::sum);
    changedAt.put(key, now);
  }

  /** Counts a caller that was told to come back at a time. */
  void countReturn(PendingForward forward, Instant at) {
    if (!forward.model().isEmpty()) {
      returns
          .computeIfAbsent(
              DemandKey.of(forward.service(), forward.model()), key -> new ArrayList<>())
          .add(at.plus(RETURN_GRACE));
    }
  }

  List<ModelDemand> demands(Collection<PendingForward> pending, Instant now) {
    Map<DemandKey, Waiting> waiting = new TreeMap<>();
    for (PendingForward forward : pending) {
      if (forward.state() == PendingForward.State.WAITING && !forward.model().isEmpty()) {
        long left = forward.patienceLeft(now).toMillis();
        waiting
            .computeIfAbsent(DemandKey.of(forward.service(), forward.model()), key -> new Waiting())
            .add(left);
        if (!forward.adapter().isEmpty()) {
          waiting.computeIfAbsent(keyOf(forward), key -> new Waiting()).add(left);
        }
      }
    }
    returns.values().forEach(times -> times.removeIf(time -> time.isBefore(now)));
    returns.values().removeIf(List::isEmpty);
    List<ModelDemand> demands = new ArrayList<>();
    arrivals.forEach(
        (key, count) -> {
          Waiting here = waiting.getOrDefault(key, new Waiting());
          int returning = returns.getOrDefault(key, List.of()).size();
          boolean news = now.isBefore(changedAt.get(key).plus(REPEAT));
          if (!news && here.count == 0 && returning == 0) {
            return;
          }
          demands.add(
              new ModelDemand(
                  key.service(),
                  key.model(),
                  key.adapter(),
                  here.count,
                  here.count + returning,
                  here.leastLeft,
                  count));
        });
    return demands;
  }

  private static DemandKey keyOf(PendingForward forward) {
    return new DemandKey(forward.service(), forward.model(), forward.adapter());
  }

  private static final class Waiting {

    private int count;
    private long leastLeft = Long.MAX_VALUE;

    void add(long leftMillis) {
      count++;
      leastLeft = Math.min(leastLeft, leftMillis);
    }
  }
}
