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
 * How long runners take for requests of each route, from the sending to the end of the answer.
 *
 * <p>The load that it answers: streams take several times as long when runners are nearly full, so
 * no fixed time tells whether one can still end before its node does.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class RunTimes {

  /** Requests of a route that are looked at, newest first. */
  private static final int MAX_SAMPLES = 32;

  /** Share of the requests that ended within the time that is expected of the next one. */
  private static final double QUANTILE = 0.9;

  private final Map<String, Deque<Duration>> byRoute = new HashMap<>();

  private RunTimes() {}

  /** Returns times of which none is known. */
  public static RunTimes create() {
    return new RunTimes();
  }

  /** Notes how long a request was at its runners, whether or not it was answered in the end. */
  public void add(String route, Duration time) {
    Deque<Duration> times = byRoute.computeIfAbsent(route, name -> new ArrayDeque<>());
    if (times.size() == MAX_SAMPLES) {
      times.removeLast();
    }
    times.addFirst(time);
  }

  /**
   * Returns the time that the next request of a route is expected to take, if any is known.
   *
   * @param route the route
   * @param running how long runners have had the requests of the route that have not ended
   */
  public Optional<Duration> expected(String route, Collection<Duration> running) {
    Collection<Duration> ended = byRoute.getOrDefault(route, new ArrayDeque<>());
    if (ended.isEmpty()) {
      return Optional.empty();
    }
    List<Duration> sorted = Stream.concat(ended.stream(), running.stream()).sorted().toList();
    return Optional.of(sorted.get((int) Math.ceil(sorted.size() * QUANTILE) - 1));
  }
}
