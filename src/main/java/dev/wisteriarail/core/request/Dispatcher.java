package dev.wisteriarail.core.request;

import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.routing.Route;
import dev.wisteriarail.core.routing.RouteRequest;
import dev.wisteriarail.core.routing.Router;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Hands waiting requests to runners in fair order as long as there is room.
 *
 * <p>Remembers which targets found no room, and asks again only after a runner may have got some.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the request table.
 */
final class Dispatcher {

  /** A queue that found no room; another class or customer may find some at the same runners. */
  private record Blocked(TargetKey target, Urgency urgency, CustomerId customer)
      implements Comparable<Blocked> {

    private static final Comparator<Blocked> ORDER =
        Comparator.comparing(Blocked::target)
            .thenComparing(Blocked::urgency)
            .thenComparing(Blocked::customer);

    @Override
    public int compareTo(Blocked other) {
      return ORDER.compare(this, other);
    }
  }

  private final WaitingQueue queue;
  private final AttemptBook attempts;
  private final StartEstimator estimator;
  private final RetryPolicy retries;
  private final Router router;
  private final PoisonGuard poison;
  private final Set<Blocked> blocked = new TreeSet<>();
  private long seenVersion = -1;

  Dispatcher(
      WaitingQueue queue,
      AttemptBook attempts,
      StartEstimator estimator,
      RetryPolicy retries,
      Router router,
      PoisonGuard poison) {
    this.queue = queue;
    this.attempts = attempts;
    this.estimator = estimator;
    this.retries = retries;
    this.router = router;
    this.poison = poison;
  }

  /** Forgets which targets found no room. */
  void retryBlocked() {
    blocked.clear();
  }

  /** Dispatches what can run. */
  void dispatch(RequestContext context) {
    if (queue.isEmpty()) {
      return;
    }
    if (context.runners().version() != seenVersion) {
      seenVersion = context.runners().version();
      blocked.clear();
    }
    Optional<PendingRequest> next = nextRoutable(context);
    while (next.isPresent()) {
      next = nextRoutable(context);
    }
  }

  private Optional<PendingRequest> nextRoutable(RequestContext context) {
    TreeMap<Long, Route> routes = new TreeMap<>();
    Optional<PendingRequest> next =
        queue.next(
            pending -> {
              Optional<Route> route = route(pending, context);
              route.ifPresent(found -> routes.put(pending.sequence(), found));
              return route.isPresent();
            });
    next.ifPresent(pending -> start(pending, routes.get(pending.sequence()), context));
    return next;
  }

  private Optional<Route> route(PendingRequest pending, RequestContext context) {
    Blocked key = new Blocked(pending.target(), pending.urgency(), pending.request().customer());
    if (blocked.contains(key) || isAtConcurrency(pending, context)) {
      return Optional.empty();
    }
    RouteRequest wanted =
        new RouteRequest(
            pending.request(), pending.urgency(), runner -> mayRun(pending, runner, context));
    Optional<Route> route =
        router.choose(wanted, context.configuration(), context.runners(), context.routable());
    if (route.isEmpty() && pending.failures() == 0 && !poison.isSuspect(pending)) {
      blocked.add(key);
    }
    return route;
  }

  private boolean mayRun(PendingRequest pending, RunnerId runner, RequestContext context) {
    Incarnation present = context.runners().incarnation(runner);
    return !pending.avoids(runner, present, context.step().now()) && poison.mayRun(pending, runner);
  }

  private boolean isAtConcurrency(PendingRequest pending, RequestContext context) {
    CustomerId customer = pending.request().customer();
    CustomerSpec spec = context.configuration().customers().get(customer);
    return spec != null && attempts.inFlight(customer) >= spec.concurrency();
  }

  private void start(PendingRequest pending, Route route, RequestContext context) {
    CustomerId customer = pending.request().customer();
    queue.take(
        pending,
        estimator.expectedSeconds(pending.target()),
        StartEstimator.weight(customer, context.configuration()));
    if (pending.failures() == 0) {
      retries.recordFirstAttempt(customer);
    }
    attempts.start(pending, route, context.runners(), context.step());
    poison.recordStart(pending);
  }
}
