package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.log.LogHealth;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Detects that this node was paused and keeps it from acting on state that may be out of date.
 *
 * <p>This only narrows the window between check and action; safety comes from fencing numbers and
 * reservations.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class PauseDetector {

  private final Duration pauseThreshold;
  private Optional<Instant> lastStep = Optional.empty();
  private Optional<Instant> resumedAt = Optional.empty();

  private PauseDetector(Duration pauseThreshold) {
    this.pauseThreshold = pauseThreshold;
  }

  /**
   * Returns a detector that has recorded no step.
   *
   * @param pauseThreshold time between two steps above which the node counts as paused
   */
  static PauseDetector create(Duration pauseThreshold) {
    return new PauseDetector(pauseThreshold);
  }

  /** Records a step. */
  void recordStep(Instant now) {
    if (lastStep.filter(last -> now.isAfter(last.plus(pauseThreshold))).isPresent()) {
      resumedAt = Optional.of(now);
    }
    lastStep = Optional.of(now);
  }

  /** Returns whether the node was paused and has neither read the log since nor found it down. */
  boolean isStale(LogHealth log, Instant now) {
    if (resumedAt.isEmpty()) {
      return false;
    }
    Instant resumed = resumedAt.get();
    boolean refreshed =
        log.lastRead().filter(read -> !read.isBefore(resumed)).isPresent() || log.isDown(now);
    if (refreshed) {
      resumedAt = Optional.empty();
    }
    return !refreshed;
  }
}
