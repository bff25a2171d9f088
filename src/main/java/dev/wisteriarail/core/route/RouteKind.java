package dev.wisteriarail.core.route;

/** What may be repeated on a route. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request runs at most once. */
  NON_IDEMPOTENT,
  /** The answer is a series of events; it runs at most once unless the route is resumable. */
  STREAMING
}
