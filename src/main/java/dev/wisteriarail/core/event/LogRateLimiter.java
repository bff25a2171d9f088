package dev.wisteriarail.core.event;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Limits the number of lines per second that each event writes to the structured log.
 *
 * <p>Under peak load every request writes several lines, and the reader of standard output may
 * stall. Lines of routine events, such as those of successful requests, are omitted first. The next
 * written line of an event contains the number of lines omitted before it.
 *
 * <p>Life cycle: one per process. Not thread-safe.
 */
public final class LogRateLimiter {

  /** Lines per second of each routine event; a line has some hundred bytes. */
  private static final int ROUTINE_PER_SECOND = 60;

  /** Lines per second of each other event. */
  private static final int OTHER_PER_SECOND = 300;

  /** Fill level of the queue from which on the lines of routine events are omitted. */
  private static final double ROUTINE_MAX_FILL = 0.5;

  private static final Duration SECOND = Duration.ofSeconds(1);

  private static final Set<EventCode> ROUTINE =
      EnumSet.of(
          EventCode.REQUEST_ARRIVED,
          EventCode.REQUEST_DISPATCHED,
          EventCode.REQUEST_COMPLETED,
          EventCode.FORWARD_WAITING,
          EventCode.FORWARD_SENT,
          EventCode.FORWARD_ANSWERED,
          EventCode.RUNNER_ORDER_ANSWERED);

  private final Map<EventCode, EventCounter> counters = new EnumMap<>(EventCode.class);

  private LogRateLimiter() {}

  /** Creates a limiter that has not admitted any line yet. */
  public static LogRateLimiter create() {
    return new LogRateLimiter();
  }

  /**
   * Decides whether a line is written.
   *
   * @param event the line's event
   * @param queueFill fill level of the queue of lines, from 0 to 1
   * @param now the current time
   * @return the number of lines of the event omitted since its last written line, or empty if this
   *     line is omitted
   */
  public OptionalLong admit(EventCode event, double queueFill, Instant now) {
    EventCounter counter = counters.computeIfAbsent(event, code -> new EventCounter(now));
    if (Duration.between(counter.windowStart, now).compareTo(SECOND) >= 0) {
      counter.windowStart = now;
      counter.written = 0;
    }
    boolean routine = ROUTINE.contains(event);
    int limit = routine ? ROUTINE_PER_SECOND : OTHER_PER_SECOND;
    double fillLimit = routine ? ROUTINE_MAX_FILL : 1.0;
    if (counter.written >= limit || queueFill >= fillLimit) {
      counter.omitted++;
      return OptionalLong.empty();
    }
    counter.written++;
    long omitted = counter.omitted;
    counter.omitted = 0;
    return OptionalLong.of(omitted);
  }

  /** Returns the number of omitted lines that no written line has reported yet, by event. */
  public Map<EventCode, Long> unreportedOmissions() {
    Map<EventCode, Long> omissions = new EnumMap<>(EventCode.class);
    counters.forEach(
        (event, counter) -> {
          if (counter.omitted > 0) {
            omissions.put(event, counter.omitted);
          }
        });
    return omissions;
  }

  private static final class EventCounter {

    private Instant windowStart;
    private int written;
    private long omitted;

    EventCounter(Instant since) {
      this.windowStart = since;
    }
  }
}
