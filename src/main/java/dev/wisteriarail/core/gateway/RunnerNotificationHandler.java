package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.fleet.RunnerRun;
import dev.wisteriarail.core.fleet.RunnerTransition;
import dev.wisteriarail.core.forward.RetryAfterParser;
import dev.wisteriarail.core.forward.RunnerStateTable;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Takes what runners say of themselves in their answers, and logs each turn in what is known of
 * them.
 *
 * <p>The load that it answers: a runner begins to leave, or is full, and says so to the node whose
 * request it answers, before the platform's directory does. The node heeds it at once; that a
 * runner leaves goes to the other nodes with the next heartbeat.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class RunnerNotificationHandler {

  private static final String SOURCE_ANSWER = "answer";

  private final RunnerDirectory directory;
  private final RunnerStateTable runnerStates;

  private RunnerNotificationHandler(RunnerDirectory directory, RunnerStateTable runnerStates) {
    this.directory = directory;
    this.runnerStates = runnerStates;
  }

  static RunnerNotificationHandler create(
      RunnerDirectory directory, RunnerStateTable runnerStates) {
    return new RunnerNotificationHandler(directory, runnerStates);
  }

  /**
   * Takes what a runner said.
   *
   * @return whether the peers have to know it
   */
  boolean accept(GatewayEvent.RunnerNotified notified, GatewayStep step) {
    RunnerRun run = RunnerRun.of(notified.runner());
    return switch (notified.notification()) {
      case RunnerNotification.Leaving leaves -> leave(run, SOURCE_ANSWER, step);
      case RunnerNotification.RetryAfter pauses -> {
        pause(notified, run, pauses.seconds(), step);
        yield false;
      }
    };
  }

  /** Takes from a peer which runners said that they leave. */
  void acceptLeaving(List<RunnerRun> runs, String peer, GatewayStep step) {
    runs.forEach(run -> leave(run, peer, step));
  }

  private boolean leave(RunnerRun run, String source, GatewayStep step) {
    Optional<RunnerTransition> change = directory.markLeaving(run);
    change.ifPresent(runnerChange -> log(runnerChange, source, step));
    return change.isPresent();
  }

  private void pause(
      GatewayEvent.RunnerNotified notified, RunnerRun run, String seconds, GatewayStep step) {
    Optional<Duration> length = RetryAfterParser.parse(seconds);
    length.ifPresent(duration -> runnerStates.pause(run, duration, step.now()));
    step.log(
        length.isPresent() ? EventCode.RUNNER_PAUSED : EventCode.RUNNER_PAUSE_IGNORED,
        "runner",
        run.id(),
        "service",
        notified.runner().service(),
        "seconds",
        seconds,
        "running",
        runnerStates.ownRunning(run.id()));
  }

  /** Logs a turn in what is known of a runner, with where it is known from. */
  void log(RunnerTransition change, String source, GatewayStep step) {
    EventCode code =
        switch (change.kind()) {
          case JOINED -> EventCode.RUNNER_JOINED;
          case DRAINING -> EventCode.RUNNER_DRAINING;
          case REMOVED -> EventCode.RUNNER_REMOVED;
        };
    step.log(
        code,
        "runner",
        change.entry().id(),
        "service",
        change.entry().service(),
        "address",
        change.entry().address(),
        "born",
        change.entry().bornMillis(),
        "directory",
        directory.offset(),
        "source",
        source);
  }
}
