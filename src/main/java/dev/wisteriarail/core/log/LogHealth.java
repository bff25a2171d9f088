package dev.wisteriarail.core.log;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Whether this node can read the log. Two nodes may see different answers at the same time.
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
   * Returns the health of a log that was never read.
   *
   * @param outageAfter time of failed reads after which the log counts as down
   */
  public static LogHealth create(Duration outageAfter) {
    return new LogHealth(outageAfter);
  }

  // Updates

  /** Notes a read that succeeded. */
  public void recordRead(Instant now) {
    lastRead = Optional.of(now);
    firstFailure = Optional.empty();
  }

  /** Notes a read that failed. */
  public void recordFailure(Instant now) {
    if (firstFailure.isEmpty()) {
      firstFailure = Optional.of(now);
    }
  }

  // Accessors

  /** Returns whether reads have failed for so long that the log counts as down. */
  public boolean isDown(Instant now) {
    return firstFailure.filter(since -> !now.isBefore(since.plus(outageAfter))).isPresent();
  }

  /** Returns whether the log was ever read. */
  public boolean wasRead() {
    return lastRead.isPresent();
  }

  /** Returns when the log was last read. */
  public Optional<Instant> lastRead() {
    return lastRead;
  }
}
