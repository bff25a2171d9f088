package dev.wisteriarail.core.event;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Bounds the volume of the structured log, by event and by second.
 *
 * <p>The load that it answers: at the worst load every request writes several lines, and the reader
 * of standard output may stand still. Lines of requests that went well are left out first; the next
 * line of an event says how many were left out before it.
 *
 * <p>Life cycle: one per run of a process. Not thread-safe.
 */
public final class LogRateLimiter {

  /** Lines a second of one event about requests that go well: some hundred bytes each. */
  private static final int ROUTINE_PER_SECOND = 60;

  /** Lines a second of any other event. */
  private static final int OTHER_PER_SECOND = 300;

  /** Share of the queue from which lines of requests that go well are left out. */
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

  /** Returns a bound under which nothing was written yet. */
  public static LogRateLimiter create() {
    return new LogRateLimiter();
  }

  /**
   * Decides whether a line is written.
   *
   * @param event the line's event
   * @param queueFill share of the queue of lines that is in use, 0 to 1
   * @param now the time
   * @return the lines of the event that were left out since the last one, if this one is written
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

  /** Returns how many lines of each event were left out and not told yet. */
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
