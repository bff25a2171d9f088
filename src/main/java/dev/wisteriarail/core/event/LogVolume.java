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
public final class LogVolume {

  /** Lines a second of one event about requests that go well: some hundred bytes each. */
  private static final int ROUTINE_PER_SECOND = 60;

  /** Lines a second of any other event. */
  private static final int NOTABLE_PER_SECOND = 300;

  /** Share of the queue from which lines of requests that go well are left out. */
  private static final double ROUTINE_FILL = 0.5;

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

  private final Map<EventCode, Count> counts = new EnumMap<>(EventCode.class);

  private LogVolume() {}

  /** Returns a bound under which nothing was written yet. */
  public static LogVolume create() {
    return new LogVolume();
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
    Count count = counts.computeIfAbsent(event, code -> new Count(now));
    if (Duration.between(count.since, now).compareTo(SECOND) >= 0) {
      count.since = now;
      count.written = 0;
    }
    boolean routine = ROUTINE.contains(event);
    int limit = routine ? ROUTINE_PER_SECOND : NOTABLE_PER_SECOND;
    double fillLimit = routine ? ROUTINE_FILL : 1.0;
    if (count.written >= limit || queueFill >= fillLimit) {
      count.omitted++;
      return OptionalLong.empty();
    }
    count.written++;
    long omitted = count.omitted;
    count.omitted = 0;
    return OptionalLong.of(omitted);
  }

  /** Returns how many lines of each event were left out and not told yet. */
  public Map<EventCode, Long> untold() {
    Map<EventCode, Long> untold = new EnumMap<>(EventCode.class);
    counts.forEach(
        (event, count) -> {
          if (count.omitted > 0) {
            untold.put(event, count.omitted);
          }
        });
    return untold;
  }

  private static final class Count {

    private Instant since;
    private int written;
    private long omitted;

    Count(Instant since) {
      this.since = since;
    }
  }
}
