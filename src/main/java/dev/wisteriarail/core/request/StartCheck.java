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
final class StartCheck {

  private final StartEstimator estimator;
  private final DemandTally demand;

  private StartCheck(StartEstimator estimator, DemandTally demand) {
    this.estimator = estimator;
    this.demand = demand;
  }

  /** Returns a check that tells the demand of those that are to come back. */
  static StartCheck create(StartEstimator estimator, DemandTally demand) {
    return new StartCheck(estimator, demand);
  }

  /** Returns the refusal of a request that has just come, if it cannot start in time. */
  Optional<Refusal> refuse(PendingRequest pending, WaitingQueue queue, RequestContext context) {
    if (StartEstimator.fitsNowhere(pending.request().target(), context.configuration())) {
      return Optional.of(
          Refusal.notRun(ResultCode.NO_CAPACITY, "no runner is large enough for the model"));
    }
    Duration wait = estimator.queueing(pending, queue, context);
    if (context.step().now().plus(wait).isAfter(pending.deadline())) {
      return Optional.of(LateRefusals.unreachable(pending, "the queue takes", wait));
    }
    return refuseCold(pending, context);
  }

  /** Returns the refusal of a request whose model cannot be loaded in time. */
  Optional<Refusal> refuseCold(PendingRequest pending, RequestContext context) {
    Instant now = context.step().now();
    Target target = pending.request().target();
    Duration load = estimator.coldStart(target, context.configuration(), context.runners());
    if (!now.plus(load).isAfter(pending.deadline())) {
      return Optional.empty();
    }
    demand.expect(target, pending.urgency(), now.plus(load).plus(LateRefusals.RETRY_AFTER));
    return Optional.of(LateRefusals.unreachable(pending, "loading the model takes", load));
  }
}
