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
import java.util.Map;
import java.util.Optional;

/**
 * Handles notifications that runners send in the headers of their responses, and logs each change
 * in the known state of a runner.
 *
 * <p>A runner that begins to leave or is full notifies the node whose request it answers before the
 * platform's directory shows the change. The node reacts at once; leaving runners are reported to
 * the other nodes with the next heartbeat.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class RunnerNotificationHandler {

  /** Maximum number of unusable directory entries that are logged for one read. */
  private static final int MAX_LOGGED_ENTRIES = 8;

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
   * Handles a notification.
   *
   * @return whether it has to be forwarded to the peers
   */
  boolean accept(GatewayEvent.RunnerNotified notified, GatewayStep step) {
    RunnerRun run = RunnerRun.of(notified.runner());
    return switch (notified.notification()) {
      case RunnerNotification.Leaving leaving -> leave(run, SOURCE_ANSWER, step);
      case RunnerNotification.RetryAfter retryAfter -> {
        pause(notified, run, retryAfter.seconds(), step);
        yield false;
      }
    };
  }

  /** Handles a list, received from a peer, of runners that announced that they are leaving. */
  void acceptLeaving(List<RunnerRun> runs, String peer, GatewayStep step) {
    runs.forEach(run -> leave(run, peer, step));
  }

  /**
   * Logs directory entries that describe no usable runner.
   *
   * @param unreadable the reasons by identifier
   */
  void logUnreadable(Map<String, String> unreadable, GatewayStep step) {
    unreadable.entrySet().stream()
        .limit(MAX_LOGGED_ENTRIES)
        .forEach(
            entry ->
                step.log(
                    EventCode.RUNNER_ENTRY_IGNORED,
                    "runner",
                    entry.getKey(),
                    "reason",
                    entry.getValue(),
                    "entries",
                    unreadable.size()));
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

  /**
   * Logs a change in the known state of a runner.
   *
   * @param source where the change was learned from
   */
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
