package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.fleet.RunnerRun;
import dev.wisteriarail.core.fleet.RunnerTurn;
import dev.wisteriarail.core.fleet.RunnerWord;
import dev.wisteriarail.core.forward.PauseText;
import dev.wisteriarail.core.forward.RunnerBoard;
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
final class RunnerNews {

  private static final String SOURCE_ANSWER = "answer";

  private final RunnerDirectory directory;
  private final RunnerBoard board;

  private RunnerNews(RunnerDirectory directory, RunnerBoard board) {
    this.directory = directory;
    this.board = board;
  }

  static RunnerNews create(RunnerDirectory directory, RunnerBoard board) {
    return new RunnerNews(directory, board);
  }

  /**
   * Takes what a runner said.
   *
   * @return whether the peers have to know it
   */
  boolean accept(GatewayEvent.RunnerSpoke spoke, GatewayStep step) {
    RunnerRun run = RunnerRun.of(spoke.runner());
    return switch (spoke.word()) {
      case RunnerWord.Leaves leaves -> leave(run, SOURCE_ANSWER, step);
      case RunnerWord.Pauses pauses -> {
        pause(spoke, run, pauses.seconds(), step);
        yield false;
      }
    };
  }

  /** Takes from a peer which runners said that they leave. */
  void acceptLeaving(List<RunnerRun> runs, String peer, GatewayStep step) {
    runs.forEach(run -> leave(run, peer, step));
  }

  private boolean leave(RunnerRun run, String source, GatewayStep step) {
    Optional<RunnerTurn> turn = directory.leave(run);
    turn.ifPresent(news -> log(news, source, step));
    return turn.isPresent();
  }

  private void pause(
      GatewayEvent.RunnerSpoke spoke, RunnerRun run, String seconds, GatewayStep step) {
    Optional<Duration> length = PauseText.read(seconds);
    length.ifPresent(known -> board.pause(run, known, step.now()));
    step.log(
        length.isPresent() ? EventCode.RUNNER_PAUSED : EventCode.RUNNER_PAUSE_IGNORED,
        "runner",
        run.id(),
        "service",
        spoke.runner().service(),
        "seconds",
        seconds,
        "running",
        board.ownRunning(run.id()));
  }

  /** Logs a turn in what is known of a runner, with where it is known from. */
  void log(RunnerTurn turn, String source, GatewayStep step) {
    EventCode code =
        switch (turn.kind()) {
          case JOINED -> EventCode.RUNNER_JOINED;
          case DRAINING -> EventCode.RUNNER_DRAINING;
          case REMOVED -> EventCode.RUNNER_REMOVED;
        };
    step.log(
        code,
        "runner",
        turn.entry().id(),
        "service",
        turn.entry().service(),
        "address",
        turn.entry().address(),
        "born",
        turn.entry().bornMillis(),
        "directory",
        directory.offset(),
        "source",
        source);
  }
}
