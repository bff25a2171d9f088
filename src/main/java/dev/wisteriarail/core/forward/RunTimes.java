package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * How long runners take for requests of each route, from the sending to the end of the answer.
 *
 * <p>The load that it answers: streams take several times as long when runners are nearly full, so
 * no fixed time tells whether one can still end before its node does.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class RunTimes {

  /** Answers of a route that are looked at, newest first. */
  private static final int ANSWERS = 32;

  /** Share of the answers that ended within the time that is expected of the next one. */
  private static final double SHARE = 0.9;

  private final Map<String, Deque<Duration>> byRoute = new HashMap<>();

  private RunTimes() {}

  /** Returns times of which none is known. */
  public static RunTimes create() {
    return new RunTimes();
  }

  /** Notes that an answer was passed on to its end. */
  public void note(String route, Duration time) {
    Deque<Duration> times = byRoute.computeIfAbsent(route, name -> new ArrayDeque<>());
    if (times.size() == ANSWERS) {
      times.removeLast();
    }
    times.addFirst(time);
  }

  /** Returns the time that the next request of a route is expected to take, if any is known. */
  public Optional<Duration> expected(String route) {
    Deque<Duration> times = byRoute.get(route);
    if (times == null) {
      return Optional.empty();
    }
    List<Duration> sorted = times.stream().sorted().toList();
    return Optional.of(sorted.get((int) Math.ceil(sorted.size() * SHARE) - 1));
  }
}
