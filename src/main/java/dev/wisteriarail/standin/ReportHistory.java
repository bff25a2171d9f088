package dev.wisteriarail.standin;

import dev.wisteriarail.core.engine.EngineReport;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Keeps an engine's recent reports to serve outdated ones. Thread-safe. */
final class ReportHistory {

  private static final int MAX_REPORTS = 1_000;

  private record TimedReport(long nanos, EngineReport report) {}

  private final Deque<TimedReport> history = new ArrayDeque<>();

  /**
   * Adds the current report and returns the newest one of at least the given age; if none is old
   * enough, returns the oldest one.
   */
  synchronized EngineReport addAndGet(EngineReport current, long lagMillis) {
    long now = System.nanoTime();
    history.addLast(new TimedReport(now, current));
    if (history.size() > MAX_REPORTS) {
      history.removeFirst();
    }
    long cutoff = now - TimeUnit.MILLISECONDS.toNanos(lagMillis);
    EngineReport result = history.getFirst().report();
    for (TimedReport one : history) {
      if (one.nanos() <= cutoff) {
        result = one.report();
      }
    }
    return result;
  }
}
