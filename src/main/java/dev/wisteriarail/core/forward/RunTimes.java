package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Run times of the requests of each route at runners, from sending a request to the end of its
 * response.
 *
 * <p>Streams take several times as long when runners are nearly full, so no fixed time determines
 * whether a stream can still complete before its node exits.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class RunTimes {

  /** Maximum number of run times kept for a route, newest first. */
  private static final int MAX_SAMPLES = 32;

  private final Map<String, Deque<Duration>> byRoute = new HashMap<>();

  private RunTimes() {}

  /** Creates a collection without run times. */
  public static RunTimes create() {
    return new RunTimes();
  }

  /** Records how long a request was at runners, whether or not it was answered in the end. */
  public void add(String route, Duration time) {
    Deque<Duration> times = byRoute.computeIfAbsent(route, name -> new ArrayDeque<>());
    if (times.size() == MAX_SAMPLES) {
      times.removeLast();
    }
    times.addFirst(time);
  }

  /**
   * Returns the expected run time of the next request of a route, if any run time is known.
   *
   * @param route the route
   * @param running elapsed run times of the requests of the route that have not ended
   * @param quantile the quantile of the run times that is returned, between 0 and 1
   */
  public Optional<Duration> expected(String route, Collection<Duration> running, double quantile) {
    Collection<Duration> ended = byRoute.getOrDefault(route, new ArrayDeque<>());
    if (ended.isEmpty()) {
      return Optional.empty();
    }
    List<Duration> sorted = Stream.concat(ended.stream(), running.stream()).sorted().toList();
    return Optional.of(sorted.get((int) Math.ceil(sorted.size() * quantile) - 1));
  }
}
