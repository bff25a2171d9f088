package dev.wisteriarail.standin;

import dev.wisteriarail.core.engine.EngineReport;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Keeps an engine's reports for a while, so that it can show an old one. Thread-safe. */
final class LaggingReports {

  private static final int LIMIT = 1_000;

  private record Taken(long nanos, EngineReport report) {}

  private final Deque<Taken> taken = new ArrayDeque<>();

  /** Adds the present report and returns the newest one that is at least so old. */
  synchronized EngineReport show(EngineReport present, long lagMillis) {
    long now = System.nanoTime();
    taken.addLast(new Taken(now, present));
    if (taken.size() > LIMIT) {
      taken.removeFirst();
    }
    long latest = now - TimeUnit.MILLISECONDS.toNanos(lagMillis);
    EngineReport shown = taken.getFirst().report();
    for (Taken one : taken) {
      if (one.nanos() <= latest) {
        shown = one.report();
      }
    }
    return shown;
  }
}
