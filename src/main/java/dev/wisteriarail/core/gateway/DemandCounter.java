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
 * Counts the demand of one node for each model and adapter, for reports to the coordinator.
 *
 * <p>Not thread-safe.
 */
final class DemandCounter {

  /** Time after its expected retry for which a refused caller still counts as demand. */
  private static final Duration RETRY_GRACE = Duration.ofMillis(500);

  /** Time for which a changed count is reported again, in case a report is lost. */
  private static final Duration REPEAT_PERIOD = Duration.ofSeconds(2);

  private final Map<DemandKey, Long> arrivals = new TreeMap<>();
  private final Map<DemandKey, Instant> changedAt = new HashMap<>();
  private final Map<DemandKey, List<Instant>> expectedRetries = new HashMap<>();

  private DemandCounter() {}

  static DemandCounter create() {
    return new DemandCounter();
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

  /** Counts a refused caller that was asked to retry at the given time. */
  void countRetry(PendingForward forward, Instant at) {
    if (!forward.model().isEmpty()) {
      expectedRetries
          .computeIfAbsent(
              DemandKey.of(forward.service(), forward.model()), key -> new ArrayList<>())
          .add(at.plus(RETRY_GRACE));
    }
  }

  List<ModelDemand> demands(Collection<PendingForward> pending, Instant now) {
    Map<DemandKey, Waiting> waiting = new TreeMap<>();
    for (PendingForward forward : pending) {
      if (forward.waitsForRunner() && !forward.model().isEmpty()) {
        long timeLeftMillis = forward.waitTimeLeft(now).toMillis();
        waiting
            .computeIfAbsent(DemandKey.of(forward.service(), forward.model()), key -> new Waiting())
            .add(timeLeftMillis);
        if (!forward.adapter().isEmpty()) {
          waiting.computeIfAbsent(keyOf(forward), key -> new Waiting()).add(timeLeftMillis);
        }
      }
    }
    expectedRetries.values().forEach(times -> times.removeIf(time -> time.isBefore(now)));
    expectedRetries.values().removeIf(List::isEmpty);
    List<ModelDemand> demands = new ArrayList<>();
    arrivals.forEach(
        (key, count) -> {
          Waiting waitingForKey = waiting.getOrDefault(key, new Waiting());
          int retrying = expectedRetries.getOrDefault(key, List.of()).size();
          boolean recentlyChanged = now.isBefore(changedAt.get(key).plus(REPEAT_PERIOD));
          if (!recentlyChanged && waitingForKey.count == 0 && retrying == 0) {
            return;
          }
          demands.add(
              new ModelDemand(
                  key.service(),
                  key.model(),
                  key.adapter(),
                  waitingForKey.count,
                  waitingForKey.count + retrying,
                  waitingForKey.minTimeLeftMillis,
                  count));
        });
    return demands;
  }

  private static DemandKey keyOf(PendingForward forward) {
    return new DemandKey(forward.service(), forward.model(), forward.adapter());
  }

  private static final class Waiting {

    private int count;
    private long minTimeLeftMillis = Long.MAX_VALUE;

    void add(long timeLeftMillis) {
      count++;
      minTimeLeftMillis = Math.min(minTimeLeftMillis, timeLeftMillis);
    }
  }
}
