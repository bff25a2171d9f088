package dev.wisteriarail.core.engine;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.RunnerId;
import java.util.List;

/**
 * What an engine publishes about the prompt prefixes in its cache. Reports come late, and some
 * never come.
 *
 * @param runner the runner
 * @param incarnation the engine process's incarnation
 * @param sequence number of reports of this incarnation before this one
 * @param full whether the report lists the whole cache instead of changes
 * @param added hashes of prefixes that came into the cache
 * @param removed hashes of prefixes that left it
 */
public record CacheReport(
    RunnerId runner,
    Incarnation incarnation,
    long sequence,
    boolean full,
    List<Long> added,
    List<Long> removed) {

  /** Copies the lists. */
  public CacheReport {
    added = List.copyOf(added);
    removed = List.copyOf(removed);
  }
}
