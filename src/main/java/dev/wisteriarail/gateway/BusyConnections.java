package dev.wisteriarail.gateway;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Connections on which requests are in progress, and the closing of those that are idle.
 *
 * <p>A caller sends its next request as soon as it has the answer, which may be before the end of
 * the answer is noted here, so a connection is counted rather than marked. A request that crosses
 * the closing of its connection may not be served, as its answer could not be sent. Thread-safe.
 *
 * @param <C> a connection
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
   * Returns an empty register.
   *
   * @param isOpen tells whether a connection is open
   */
  static <C> BusyConnections<C> create(Predicate<C> isOpen) {
    return new BusyConnections<>(isOpen);
  }

  /**
   * Notes that a request began.
   *
   * @return whether it may be served; it is noted in any case
   */
  boolean requestStarted(C connection) {
    requestCounts.merge(connection, 1, Integer::sum);
    // In this order: a mark that is gone by now left a connection that is closed.
    return !closing.contains(connection) && isOpen.test(connection);
  }

  /** Notes that the answer to a request ended. */
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
