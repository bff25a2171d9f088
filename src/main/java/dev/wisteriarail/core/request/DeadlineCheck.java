package dev.wisteriarail.core.request;

import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Checks whether a request can still start before its deadline.
 *
 * <p>A request that cannot is refused at once, either because more requests are queued than the
 * runners serve in time or because its model takes longer to load than its deadline allows.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the request table.
 */
final class DeadlineCheck {

  private final StartTimeEstimator estimator;
  private final DemandCounter demand;

  private DeadlineCheck(StartTimeEstimator estimator, DemandCounter demand) {
    this.estimator = estimator;
    this.demand = demand;
  }

  /** Returns a check that records the expected retries of refused requests as demand. */
  static DeadlineCheck create(StartTimeEstimator estimator, DemandCounter demand) {
    return new DeadlineCheck(estimator, demand);
  }

  /** Returns the refusal of a request that has just arrived, if it cannot start in time. */
  Optional<Refusal> checkArrival(
      PendingRequest pending, WaitingQueue queue, RequestContext context) {
    if (StartTimeEstimator.exceedsEveryRunner(
        pending.request().target(), context.configuration())) {
      return Optional.of(
          Refusal.notRun(ResultCode.NO_CAPACITY, "no runner is large enough for the model"));
    }
    Duration wait = estimator.queueingDelay(pending, queue, context);
    if (context.step().now().plus(wait).isAfter(pending.deadline())) {
      return Optional.of(Refusals.deadlineUnreachable(pending, "the queueing time is", wait));
    }
    return checkColdStart(pending, context);
  }

  /** Returns the refusal of a request whose model cannot be loaded before its deadline. */
  Optional<Refusal> checkColdStart(PendingRequest pending, RequestContext context) {
    Instant now = context.step().now();
    Target target = pending.request().target();
    Duration load = estimator.coldStartDelay(target, context.configuration(), context.runners());
    if (!now.plus(load).isAfter(pending.deadline())) {
      return Optional.empty();
    }
    demand.expectRetry(target, pending.urgency(), now.plus(load).plus(Refusals.MIN_RETRY_AFTER));
    return Optional.of(Refusals.deadlineUnreachable(pending, "loading the model takes", load));
  }
}
