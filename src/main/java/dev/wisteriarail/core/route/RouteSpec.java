package dev.wisteriarail.core.route;

import java.time.Duration;
import java.util.List;

/**
 * A route of the configuration.
 *
 * @param name the route's name
 * @param host the host that callers name
 * @param pathPrefix the prefix of the paths that it takes; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout longest time that a caller is kept waiting for the whole answer
 * @param objective time to the answer, or to the first event of a stream
 * @param rank urgency; 0 is the most urgent
 * @param shares the services that it sends requests to, at least one
 * @param maxRunners number of runners that one request may be sent to
 * @param sticky whether requests name their prompt's parts and profit from a warm prompt cache
 * @param resumable whether a stream may be continued by another runner
 * @param gapObjective longest pause between two events of a stream that is on time
 */
public record RouteSpec(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    Duration timeout,
    Duration objective,
    int rank,
    List<ServiceShare> shares,
    int maxRunners,
    boolean sticky,
    boolean resumable,
    Duration gapObjective) {

  /** Shortest pause after which callers of streams leave. From the platform's protocol. */
  private static final Duration MIN_FIRST_BYTE_TIMEOUT = Duration.ofSeconds(2);

  /** Callers of a stream leave after this many objectives. From the platform's protocol. */
  private static final int TIMEOUT_OBJECTIVES = 4;

  /** Callers of a stream leave after this many longest pauses. From the platform's protocol. */
  private static final int TIMEOUT_GAPS = 8;

  /** Copies the list. */
  public RouteSpec {
    shares = List.copyOf(shares);
  }

  /** Returns whether a request may run again after an attempt whose outcome is unknown. */
  public boolean repeatable() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
  }

  /** Returns whether answers are streams of events. */
  public boolean streaming() {
    return kind == RouteKind.STREAMING;
  }

  /** Returns how long a caller waits for the first byte before it leaves. */
  public Duration firstByteTimeout() {
    if (!streaming()) {
      return timeout;
    }
    Duration wait = MIN_FIRST_BYTE_TIMEOUT;
    wait = max(wait, objective.multipliedBy(TIMEOUT_OBJECTIVES));
    wait = max(wait, gapObjective.multipliedBy(TIMEOUT_GAPS));
    return wait.compareTo(timeout) < 0 ? wait : timeout;
  }

  private static Duration max(Duration a, Duration b) {
    return a.compareTo(b) >= 0 ? a : b;
  }
}
