package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.forward.StallRule;
import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.time.Duration;
import java.util.Optional;

/**
 * Sends a request whose runner is silent to another runner as well.
 *
 * <p>A silent runner may be down, or only slow and go on, so its attempt stays live until another
 * one has prevailed. While no other runner can take the request, this is checked again. A runner is
 * not silent while its caller does not read, as nothing is received from it then.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class StallHandler {

  /** Interval between two searches for a runner for the same request. */
  private static final Duration SEARCH_INTERVAL = Duration.ofMillis(100);

  /**
   * Time for which a runner with more requests than slots may have interrupted a less urgent
   * request: urgent callers that it serves first leave after this time.
   */
  private static final Duration MAX_PREEMPTION = Duration.ofSeconds(2);

  private final RunnerStateTable runnerStates;
  private final AttemptSender sender;
  private final ForwardQueue queue;

  private StallHandler(RunnerStateTable runnerStates, AttemptSender sender, ForwardQueue queue) {
    this.runnerStates = runnerStates;
    this.sender = sender;
    this.queue = queue;
  }

  static StallHandler create(
      RunnerStateTable runnerStates, AttemptSender sender, ForwardQueue queue) {
    return new StallHandler(runnerStates, sender, queue);
  }

  /** Sends a request that is at a runner to another one, too, if its newest attempt has stalled. */
  void check(PendingForward forward, GatewayConfiguration configuration, GatewayStep step) {
    LiveAttempt newest = forward.live().getLast();
    if (step.now().isBefore(forward.notBefore())
        || forward.isPaused()
        || AttemptSender.isTooLate(forward, step.now())
        || !isStalled(forward, newest.runner(), configuration, step)) {
      return;
    }
    runnerStates.health(newest.runner().id()).recordSilence();
    forward.markLiveMayHaveRun();
    if (!sender.mayRetry(forward, false)) {
      return;
    }
    Optional<RunnerEntry> next =
        sender.maySend(forward, step.now())
            ? sender.choose(forward, configuration, step.now())
            : Optional.empty();
    if (next.isEmpty() || !sender.tryAcquireRetry(forward, step.now())) {
      forward.postpone(step.now().plus(SEARCH_INTERVAL));
      return;
    }
    ForwardLog.retried(forward, "silent", step);
    sender.send(forward, next.get(), configuration, step);
  }

  private boolean isStalled(
      PendingForward forward,
      RunnerEntry runner,
      GatewayConfiguration configuration,
      GatewayStep step) {
    int slots =
        configuration.engineOf(forward.service()).map(EngineSpec::slots).orElse(runner.slots());
    int running = runnerStates.totalRunning(runner);
    boolean preempted =
        queue.mayBePreempted(forward)
            && running > slots
            && forward.silence(step.now()).compareTo(MAX_PREEMPTION) <= 0;
    return !preempted
        && StallRule.isStalled(
            forward.route(), forward.answerStarted(), forward.silence(step.now()), running, slots);
  }
}
