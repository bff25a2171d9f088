package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.RetryBudget;
import dev.wisteriarail.core.forward.RetryLimits;
import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntUnaryOperator;

/**
 * Sends requests to runners, within the limits on further attempts.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class AttemptSender {

  /** Number of rejections after which a request is refused. */
  private static final int MAX_REJECTIONS = 6;

  /** Number of faults of this node while sending a request after which it is refused. */
  private static final int MAX_LOCAL_FAULTS = 3;

  /** Minimum time until its deadline with which a request is sent to a runner. */
  private static final Duration MIN_TIME_LEFT = Duration.ofMillis(15);

  private RetryLimits retryLimits;
  private final RunnerStateTable runnerStates;
  private final RunnerPicker picker;
  private final CrashGuard crashGuard;
  private final PendingForwardTable pending;
  private final DrainPlan drain;
  private final ForwardQueue queue;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private int sharingNodes = 1;

  private AttemptSender(
      RetryLimits retryLimits,
      RunnerStateTable runnerStates,
      RunnerPicker picker,
      CrashGuard crashGuard,
      PendingForwardTable pending,
      DrainPlan drain,
      ForwardQueue queue) {
    this.retryLimits = retryLimits;
    this.runnerStates = runnerStates;
    this.picker = picker;
    this.crashGuard = crashGuard;
    this.pending = pending;
    this.drain = drain;
    this.queue = queue;
  }

  static AttemptSender create(
      RetryLimits retryLimits,
      RunnerStateTable runnerStates,
      RunnerPicker picker,
      CrashGuard crashGuard,
      PendingForwardTable pending,
      DrainPlan drain,
      ForwardQueue queue) {
    return new AttemptSender(retryLimits, runnerStates, picker, crashGuard, pending, drain, queue);
  }

  /** Applies changed retry limits. */
  void accept(RetryLimits newLimits) {
    retryLimits = newLimits;
    retryBudgets.values().forEach(budget -> budget.setLimits(newLimits));
  }

  /** Sets the number of nodes that share the retry budgets. */
  void setSharingNodes(int count) {
    sharingNodes = count;
  }

  /** Records the arrival of a request, of which the retry budget of its service is a share. */
  void countRequest(String service, Instant now) {
    retryBudget(service).countRequest(now);
  }

  /** Returns whether the deadline of a request is too close to send it. */
  static boolean isTooLate(PendingForward forward, Instant now) {
    return forward.timeLeft(now).compareTo(MIN_TIME_LEFT) < 0;
  }

  /**
   * Returns whether a request may be sent now, as far as suspected traits and the end of a draining
   * node are concerned.
   */
  boolean maySend(PendingForward forward, Instant now) {
    return !drain.isTooLateToSend(now) && crashGuard.maySend(forward, pending, now);
  }

  /** Returns the runner that can take a request now. */
  Optional<RunnerEntry> choose(
      PendingForward forward, GatewayConfiguration configuration, Instant now) {
    return picker.choose(
        forward, configuration, id -> crashGuard.avoids(forward, id), limit(forward, now), now);
  }

  /**
   * Returns the tokens for which a runner has room that can take one more request of this kind now;
   * 0 if there is none.
   */
  long room(PendingForward forward, GatewayConfiguration configuration, Instant now) {
    return picker.room(
        forward, configuration, id -> crashGuard.avoids(forward, id), limit(forward, now), now);
  }

  private IntUnaryOperator limit(PendingForward forward, Instant now) {
    return slots -> queue.limit(forward, slots, now);
  }

  /** Takes a further attempt of a request from the retry budget; returns false if it is used up. */
  boolean tryAcquireRetry(PendingForward forward, Instant now) {
    return retryBudget(forward.service()).tryAcquire(sharingNodes, now);
  }

  /**
   * Returns whether a request may be sent to another runner.
   *
   * @param notRun whether the runner of the attempt that ended did not execute it
   */
  boolean mayRetry(PendingForward forward, boolean notRun) {
    if (forward.rejections() >= MAX_REJECTIONS || forward.localFaults() >= MAX_LOCAL_FAULTS) {
      return false;
    }
    return (notRun && !forward.mayHaveRun())
        || (forward.route().repeatable()
            && forward.runnersThatMayHaveRun().size() < forward.route().maxRunners());
  }

  /** Sends a request to a runner. */
  void send(
      PendingForward forward,
      RunnerEntry runner,
      GatewayConfiguration configuration,
      GatewayStep step) {
    final LiveAttempt attempt = forward.send(runner, step.now());
    runnerStates.requestSent(runner.id(), forward.model(), forward.adapter(), forward.tokens());
    if (forward.live().size() == 1) {
      picker.recordSession(forward, runner);
    }
    crashGuard.recordSent(forward, attempt);
    ForwardLog.sent(forward, runner, picker.lastChoice(), runnerStates, step);
    step.emit(
        new GatewayEffect.SendAttempt(
            forward.exchange(),
            attempt.number(),
            runner,
            drain.runnerTime(forward.timeLeft(step.now()), step.now()),
            forward.rank(),
            forward.route().streaming(),
            forward.route().repeatable(),
            identity(forward, configuration)));
  }

  /**
   * Returns what a runner learns about the caller. The configuration in force counts as well, since
   * tenants may have been added while the request was waiting.
   */
  private static CallerIdentity identity(
      PendingForward forward, GatewayConfiguration configuration) {
    Optional<String> tenant = forward.tenant().map(TenantSpec::name);
    return new CallerIdentity(configuration.requiresKeys() || tenant.isPresent(), tenant);
  }

  private RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(service, name -> RetryBudget.create(retryLimits));
  }
}
