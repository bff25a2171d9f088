package dev.wisteriarail.engine;

import dev.wisteriarail.core.id.AttemptId;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedSet;
import org.eclipse.jetty.client.Request;

/**
 * The HTTP requests of live attempts, and the attempts that were cancelled before they began, as a
 * dispatch and its cancellation run in parallel.
 *
 * <p>Life cycle: one per client. Thread-safe.
 */
final class AttemptRequests {

  /** Maximum number of attempts that are remembered as cancelled; the oldest are dropped. */
  private static final int MAX_CANCELLED = 1_024;

  private final Map<AttemptId, Request> live = new HashMap<>();
  private final SequencedSet<AttemptId> cancelled = new LinkedHashSet<>();

  /** Records the request of an attempt; returns whether the attempt may begin. */
  synchronized boolean begin(AttemptId attempt, Request request) {
    if (cancelled.remove(attempt)) {
      return false;
    }
    live.put(attempt, request);
    return true;
  }

  /** Removes an attempt that has ended. */
  synchronized void end(AttemptId attempt) {
    live.remove(attempt);
  }

  /** Returns the request to abort, or keeps an attempt without a request from beginning. */
  synchronized Optional<Request> cancel(AttemptId attempt) {
    Request request = live.get(attempt);
    if (request == null) {
      cancelled.add(attempt);
      if (cancelled.size() > MAX_CANCELLED) {
        cancelled.removeFirst();
      }
    }
    return Optional.ofNullable(request);
  }
}
