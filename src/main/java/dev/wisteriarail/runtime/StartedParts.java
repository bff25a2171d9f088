package dev.wisteriarail.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.logging.log4j.LogManager;

/**
 * The parts that a start has opened so far; they are closed in reverse order unless the start
 * completes.
 *
 * <p>Life cycle: {@link #add} each part, {@link #keep} them at the end of the start, {@link
 * #close}. Not thread-safe.
 */
public final class StartedParts implements AutoCloseable {

  private final Deque<AutoCloseable> closers = new ArrayDeque<>();

  private StartedParts() {}

  /** Returns an empty collection of parts. */
  public static StartedParts create() {
    return new StartedParts();
  }

  /**
   * Adds a part.
   *
   * @param closer closes the part if the start fails
   */
  public void add(AutoCloseable closer) {
    closers.push(closer);
  }

  /** Keeps all parts open, because the start is complete. */
  public void keep() {
    closers.clear();
  }

  @Override
  public void close() {
    while (!closers.isEmpty()) {
      try {
        closers.pop().close();
      } catch (Exception failure) {
        LogManager.getLogger(StartedParts.class)
            .warn("a part of a node that did not start was not closed", failure);
      }
    }
  }
}
