package dev.wisteriarail.core.route;

/** Determines which requests of a route may be retried. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request runs at most once. */
  NON_IDEMPOTENT,
  /**
   * The answer is a stream of events; a request runs at most once unless the route is resumable.
   */
  STREAMING
}
