package dev.wisteriarail.core.route;

import dev.wisteriarail.core.Durations;
import java.time.Duration;
import java.util.List;

/**
 * Configuration of a route.
 *
 * @param name the route's name
 * @param host the host name in the requests of callers
 * @param pathPrefix prefix of the paths that it matches; begins and ends with a slash
 * @param kind which requests may be retried
 * @param timeout maximum time until the whole answer is sent to the caller
 * @param objective latency objective for the answer, or for the first event of a stream
 * @param rank urgency; 0 is the most urgent
 * @param shares the services to which it sends requests; at least one
 * @param maxRunners maximum number of runners to which one request is sent
 * @param sticky whether requests identify the parts of their prompt and benefit from a warm prompt
 *     cache
 * @param resumable whether another runner may continue an interrupted stream
 * @param gapObjective latency objective for the time between two events of a stream
 * @param isPublic whether its requests need no API key
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
    Duration gapObjective,
    boolean isPublic) {

  /** Minimum time after which callers of streams disconnect; defined by the platform's protocol. */
  private static final Duration MIN_FIRST_BYTE_TIMEOUT = Duration.ofSeconds(2);

  /**
   * Callers of a stream disconnect after this multiple of the objective; defined by the platform's
   * protocol.
   */
  private static final int TIMEOUT_OBJECTIVES = 4;

  /**
   * Callers of a stream disconnect after this multiple of the gap objective; defined by the
   * platform's protocol.
   */
  private static final int TIMEOUT_GAPS = 8;

  /** Copies the list. */
  public RouteSpec {
    shares = List.copyOf(shares);
  }

  /** Returns whether a request may be retried after an attempt whose outcome is unknown. */
  public boolean repeatable() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
  }

  /** Returns whether answers are streams of events. */
  public boolean streaming() {
    return kind == RouteKind.STREAMING;
  }

  /** Returns how long a caller waits for the first byte before it disconnects. */
  public Duration firstByteTimeout() {
    if (!streaming()) {
      return timeout;
    }
    Duration wait = MIN_FIRST_BYTE_TIMEOUT;
    wait = Durations.max(wait, objective.multipliedBy(TIMEOUT_OBJECTIVES));
    wait = Durations.max(wait, gapObjective.multipliedBy(TIMEOUT_GAPS));
    return Durations.min(wait, timeout);
  }
}
