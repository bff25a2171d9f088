package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.LogPosition;
import java.util.List;

/**
 * A change of the directory of runners.
 *
 * @param whole whether the entries are all that there are
 * @param from place of the first record that the change covers
 * @param to place after the last record that it covers
 * @param entries the newest entry of each runner that changed
 * @param removed runners whose entry was removed
 */
public record DirectoryChange(
    boolean whole,
    LogPosition from,
    LogPosition to,
    List<RunnerEntry> entries,
    List<String> removed) {

  /** Copies the lists. */
  public DirectoryChange {
    entries = List.copyOf(entries);
    removed = List.copyOf(removed);
  }

  /** Returns whether nothing changed. */
  public boolean isEmpty() {
    return entries.isEmpty() && removed.isEmpty() && !whole;
  }
}
