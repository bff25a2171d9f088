package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.log.LogHealth;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Notices that this node did not run for a while and keeps it from acting on what it knew before.
 *
 * <p>Only narrows the gap between check and act; fencing and reservations make it safe.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class PauseGuard {

  private final Duration pauseThreshold;
  private Optional<Instant> lastStep = Optional.empty();
  private Optional<Instant> resumedAt = Optional.empty();

  private PauseGuard(Duration pauseThreshold) {
    this.pauseThreshold = pauseThreshold;
  }

  /**
   * Returns a guard.
   *
   * @param pauseThreshold time between two steps from which on the node counts as paused
   */
  static PauseGuard create(Duration pauseThreshold) {
    return new PauseGuard(pauseThreshold);
  }

  /** Notes a step. */
  void recordStep(Instant now) {
    if (lastStep.filter(last -> now.isAfter(last.plus(pauseThreshold))).isPresent()) {
      resumedAt = Optional.of(now);
    }
    lastStep = Optional.of(now);
  }

  /** Returns whether the node was paused and has learnt nothing of the log since. */
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
