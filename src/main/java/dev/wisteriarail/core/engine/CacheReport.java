package dev.wisteriarail.core.engine;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.RunnerId;
import java.util.List;

/**
 * An engine's report of the prompt prefixes in its cache. Reports may be delayed or lost.
 *
 * @param runner the runner
 * @param incarnation the engine process's incarnation
 * @param sequence number of earlier reports of this incarnation
 * @param full whether the report lists the whole cache instead of changes
 * @param added hashes of prefixes that were added to the cache
 * @param removed hashes of prefixes that were removed from it
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
