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
 * Dispatches waiting requests to runners in fair order as long as runners have free slots.
 *
 * <p>Queues for which no runner had a free slot are blocked and not routed again until a runner may
 * have one.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the request table.
 */
final class Dispatcher {

  /**
   * A queue for which no runner had a free slot. The same runners may still accept requests of
   * another urgency class or customer.
   */
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

  /** Unblocks all queues, so that they are routed again. */
  void unblockAll() {
    blocked.clear();
  }

  /** Dispatches every waiting request for which a runner has a free slot. */
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
