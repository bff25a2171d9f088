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

  private final Duration limit;
  private Optional<Instant> lastStep = Optional.empty();
  private Optional<Instant> resumedAt = Optional.empty();

  private PauseGuard(Duration limit) {
    this.limit = limit;
  }

  /**
   * Returns a guard.
   *
   * @param limit time between two steps from which on the node counts as paused
   */
  static PauseGuard create(Duration limit) {
    return new PauseGuard(limit);
  }

  /** Notes a step. */
  void advance(Instant now) {
    if (lastStep.filter(last -> now.isAfter(last.plus(limit))).isPresent()) {
      resumedAt = Optional.of(now);
    }
    lastStep = Optional.of(now);
  }

  /** Returns whether the node was paused and has learnt nothing of the log since. */
  boolean isBlind(LogHealth log, Instant now) {
    if (resumedAt.isEmpty()) {
      return false;
    }
    Instant resumed = resumedAt.get();
    boolean informed =
        log.lastRead().filter(read -> !read.isBefore(resumed)).isPresent() || log.isDown(now);
    if (informed) {
      resumedAt = Optional.empty();
    }
    return !informed;
  }
}
