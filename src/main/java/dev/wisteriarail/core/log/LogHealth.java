package dev.wisteriarail.core.log;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Tracks whether this node can read the log. The result can differ between nodes.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class LogHealth {

  private final Duration outageAfter;
  private Optional<Instant> lastRead = Optional.empty();
  private Optional<Instant> firstFailure = Optional.empty();

  private LogHealth(Duration outageAfter) {
    this.outageAfter = outageAfter;
  }

  /**
   * Creates the health of a log that was not read yet.
   *
   * @param outageAfter time of failing reads after which the log counts as down
   */
  public static LogHealth create(Duration outageAfter) {
    return new LogHealth(outageAfter);
  }

  // Updates

  /** Records a successful read. */
  public void recordRead(Instant now) {
    lastRead = Optional.of(now);
    firstFailure = Optional.empty();
  }

  /** Records a failed read. */
  public void recordFailure(Instant now) {
    if (firstFailure.isEmpty()) {
      firstFailure = Optional.of(now);
    }
  }

  // Accessors

  /** Returns whether reads have been failing long enough for the log to count as down. */
  public boolean isDown(Instant now) {
    return firstFailure.filter(since -> !now.isBefore(since.plus(outageAfter))).isPresent();
  }

  /** Returns whether the log was read at least once. */
  public boolean wasRead() {
    return lastRead.isPresent();
  }

  /** Returns the time of the last successful read. */
  public Optional<Instant> lastRead() {
    return lastRead;
  }
}
