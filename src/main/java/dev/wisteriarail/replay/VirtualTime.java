package dev.wisteriarail.replay;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/**
 * A virtual clock and scheduler that advances to the time of each task it runs. Not thread-safe.
 */
final class VirtualTime {

  /** Start of the trace, which is a midnight so that hours of a trace are hours of the day. */
  private static final Instant START = Instant.EPOCH.plus(Duration.ofDays(20_000));

  private static final long NANOS_PER_MICRO = 1_000;

  private record Task(long micros, long sequence, Runnable action) implements Comparable<Task> {

    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(micros, other.micros);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long micros;
  private long sequence;

  /**
   * Creates a clock at a time in milliseconds from the start of the trace, which may be negative.
   */
  static VirtualTime startingAt(long atMs) {
    VirtualTime time = new VirtualTime();
    time.micros = Duration.ofMillis(atMs).toNanos() / NANOS_PER_MICRO;
    return time;
  }

  // Updates

  /** Schedules a task after a delay. */
  void scheduleAfter(Duration delay, Runnable action) {
    scheduleAt(micros + delay.toNanos() / NANOS_PER_MICRO, action);
  }

  /** Schedules a task at a time in microseconds from the start of the trace. */
  void scheduleAt(long atMicros, Runnable action) {
    sequence++;
    tasks.add(new Task(Math.max(micros, atMicros), sequence, action));
  }

  /** Advances to the next task and runs it. */
  void runNext() {
    Task task = tasks.remove();
    micros = task.micros();
    task.action().run();
  }

  // Accessors

  /** Returns the time in microseconds from the start of the trace. */
  long micros() {
    return micros;
  }

  /** Returns the current time as passed to the cores. */
  Instant instant() {
    return START.plusNanos(micros * NANOS_PER_MICRO);
  }

  /** Converts an instant to microseconds from the start of the trace, rounded up. */
  static long microsOf(Instant at) {
    return Math.ceilDiv(Duration.between(START, at).toNanos(), NANOS_PER_MICRO);
  }

  /** Converts an arrival time in milliseconds to an instant. */
  static Instant instantOf(long atMs) {
    return START.plusMillis(atMs);
  }
}
