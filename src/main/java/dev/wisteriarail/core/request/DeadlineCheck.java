package dev.wisteriarail.core.request;

import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Tells whether a request can still start before its deadline, and how it is refused if not.
 *
 * <p>The load that it answers: more requests than runners serve in time, and models that take
 * longer to load than their callers wait. Such a request is refused at once.
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

  /** Returns a check that tells the demand of those that are to come back. */
  static DeadlineCheck create(StartTimeEstimator estimator, DemandCounter demand) {
    return new DeadlineCheck(estimator, demand);
  }

  /** Returns the refusal of a request that has just come, if it cannot start in time. */
  Optional<Refusal> checkArrival(
      PendingRequest pending, WaitingQueue queue, RequestContext context) {
    if (StartTimeEstimator.exceedsEveryRunner(
        pending.request().target(), context.configuration())) {
      return Optional.of(
          Refusal.notRun(ResultCode.NO_CAPACITY, "no runner is large enough for the model"));
    }
    Duration wait = estimator.queueingDelay(pending, queue, context);
    if (context.step().now().plus(wait).isAfter(pending.deadline())) {
      return Optional.of(Refusals.deadlineUnreachable(pending, "the queue takes", wait));
    }
    return checkColdStart(pending, context);
  }

  /** Returns the refusal of a request whose model cannot be loaded in time. */
  Optional<Refusal> checkColdStart(PendingRequest pending, RequestContext context) {
    Instant now = context.step().now();
    Target target = pending.request().target();
    Duration load = estimator.coldStartDelay(target, context.configuration(), context.runners());
    if (!now.plus(load).isAfter(pending.deadline())) {
      return Optional.empty();
    }
    demand.expectReturn(target, pending.urgency(), now.plus(load).plus(Refusals.RETRY_AFTER));
    return Optional.of(Refusals.deadlineUnreachable(pending, "loading the model takes", load));
  }
}
