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
  private record BlockedQueue(TargetKey target, Urgency urgency, CustomerId customer)
      implements Comparable<BlockedQueue> {

    private static final Comparator<BlockedQueue> ORDER =
        Comparator.comparing(BlockedQueue::target)
            .thenComparing(BlockedQueue::urgency)
            .thenComparing(BlockedQueue::customer);

    @Override
    public int compareTo(BlockedQueue other) {
      return ORDER.compare(this, other);
    }
  }

  private final WaitingQueue queue;
  private final RunningAttempts attempts;
  private final StartTimeEstimator estimator;
  private final RetryPolicy retryPolicy;
  private final Router router;
  private final PoisonGuard poisonGuard;
  private final Set<BlockedQueue> blocked = new TreeSet<>();
  private long lastRunnersVersion = -1;

  Dispatcher(
      WaitingQueue queue,
      RunningAttempts attempts,
      StartTimeEstimator estimator,
      RetryPolicy retryPolicy,
      Router router,
      PoisonGuard poisonGuard) {
    this.queue = queue;
    this.attempts = attempts;
    this.estimator = estimator;
    this.retryPolicy = retryPolicy;
    this.router = router;
    this.poisonGuard = poisonGuard;
  }

  /** Forgets which targets found no room. */
  void unblockAll() {
    blocked.clear();
  }

  /** Dispatches what can run. */
  void dispatch(RequestContext context) {
    if (queue.isEmpty()) {
      return;
    }
    if (context.runners().version() != lastRunnersVersion) {
      lastRunnersVersion = context.runners().version();
      blocked.clear();
    }
    Optional<PendingRequest> next = dispatchNext(context);
    while (next.isPresent()) {
      next = dispatchNext(context);
    }
  }

  private Optional<PendingRequest> dispatchNext(RequestContext context) {
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
    BlockedQueue key =
        new BlockedQueue(pending.target(), pending.urgency(), pending.request().customer());
    if (blocked.contains(key) || isAtConcurrencyLimit(pending, context)) {
      return Optional.empty();
    }
    RouteRequest routeRequest =
        new RouteRequest(
            pending.request(), pending.urgency(), runner -> mayRun(pending, runner, context));
    Optional<Route> route =
        router.choose(routeRequest, context.configuration(), context.runners(), context.routable());
    if (route.isEmpty() && pending.failureCount() == 0 && !poisonGuard.isSuspect(pending)) {
      blocked.add(key);
    }
    return route;
  }

  private boolean mayRun(PendingRequest pending, RunnerId runner, RequestContext context) {
    Incarnation currentIncarnation = context.runners().incarnation(runner);
    return !pending.avoids(runner, currentIncarnation, context.step().now())
        && poisonGuard.mayRun(pending, runner);
  }

  private boolean isAtConcurrencyLimit(PendingRequest pending, RequestContext context) {
    CustomerId customer = pending.request().customer();
    CustomerSpec spec = context.configuration().customers().get(customer);
    return spec != null && attempts.inFlight(customer) >= spec.concurrency();
  }

  private void start(PendingRequest pending, Route route, RequestContext context) {
    CustomerId customer = pending.request().customer();
    queue.removeAndCharge(
        pending,
        estimator.expectedSlotSeconds(pending.target()),
        StartTimeEstimator.weight(customer, context.configuration()));
    if (pending.failureCount() == 0) {
      retryPolicy.recordFirstAttempt(customer);
    }
    attempts.start(pending, route, context.runners(), context.step());
    poisonGuard.recordAttemptStart(pending);
  }
}
