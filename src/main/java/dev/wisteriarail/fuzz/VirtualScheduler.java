package dev.wisteriarail.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/**
 * A scheduler in virtual time. It runs tasks in order of time, and tasks of the same time in order
 * of creation.
 *
 * <p>Not thread-safe; one run owns it.
 */
public final class VirtualScheduler {

  private record Task(Instant at, long sequence, Runnable action) implements Comparable<Task> {

    @Override
    public int compareTo(Task other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private Instant now = Instant.EPOCH;
  private long sequence;

  /** Returns the current virtual time. */
  public Instant now() {
    return now;
  }

  /** Schedules an action for a time, or for now if that has passed. */
  public void at(Instant time, Runnable action) {
    sequence++;
    tasks.add(new Task(time.isBefore(now) ? now : time, sequence, action));
  }

  /** Schedules an action after a delay. */
  public void after(Duration delay, Runnable action) {
    at(now.plus(delay), action);
  }

  /** Runs all tasks up to a time, inclusive. */
  public void runUntil(Instant end) {
    while (!tasks.isEmpty() && !tasks.peek().at().isAfter(end)) {
      Task task = tasks.poll();
      now = task.at();
      task.action().run();
    }
    now = end;
  }
}
