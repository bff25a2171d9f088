package dev.wisteriarail.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Connections on which requests are in progress.
 *
 * <p>A caller sends its next request as soon as it has the answer, which may be before the end of
 * the answer is noted here, so a connection is counted rather than marked. Thread-safe.
 *
 * @param <C> a connection
 */
final class BusyConnections<C> {

  private final Map<C, Integer> requests = new ConcurrentHashMap<>();

  /** Notes that a request began. */
  void begin(C connection) {
    requests.merge(connection, 1, Integer::sum);
  }

  /** Notes that the answer to a request ended. */
  void end(C connection) {
    requests.computeIfPresent(connection, (key, count) -> count == 1 ? null : count - 1);
  }

  /** Returns whether a request is in progress. */
  boolean isBusy(C connection) {
    return requests.containsKey(connection);
  }
}
