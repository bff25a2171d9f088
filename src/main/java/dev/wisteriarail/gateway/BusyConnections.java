package dev.wisteriarail.gateway;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Tracks the requests in progress on each connection and closes idle connections.
 *
 * <p>A caller may send its next request before the end of the previous response is recorded here,
 * so requests are counted per connection. A request that races with the closing of its connection
 * must not be served, because its response could not be delivered. Thread-safe.
 *
 * @param <C> the type of a connection
 */
final class BusyConnections<C> {

  private final Predicate<C> isOpen;
  private final Map<C, Integer> requestCounts = new ConcurrentHashMap<>();

  /** Connections that are being closed. */
  private final Set<C> closing = ConcurrentHashMap.newKeySet();

  private BusyConnections(Predicate<C> isOpen) {
    this.isOpen = isOpen;
  }

  /**
   * Creates a tracker without any requests.
   *
   * @param isOpen returns whether a connection is open
   */
  static <C> BusyConnections<C> create(Predicate<C> isOpen) {
    return new BusyConnections<>(isOpen);
  }

  /**
   * Records the start of a request.
   *
   * @return whether the request may be served; it is counted in either case
   */
  boolean requestStarted(C connection) {
    requestCounts.merge(connection, 1, Integer::sum);
    // The order matters: if the connection has just left `closing`, isOpen sees that it is closed.
    return !closing.contains(connection) && isOpen.test(connection);
  }

  /** Records the end of a response. */
  void requestEnded(C connection) {
    requestCounts.computeIfPresent(connection, (key, count) -> count == 1 ? null : count - 1);
  }

  /** Closes a connection unless a request is in progress on it. */
  void closeIfIdle(C connection, Consumer<C> close) {
    closing.add(connection);
    if (!isBusy(connection)) {
      close.accept(connection);
    }
    closing.remove(connection);
  }

  /** Returns whether a request is in progress. */
  boolean isBusy(C connection) {
    return requestCounts.containsKey(connection);
  }
}
