package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.LogPosition;
import java.util.List;

/**
 * A change to the directory of runners.
 *
 * @param whole whether the entries are the complete directory
 * @param from position of the first record that the change covers
 * @param to position after the last record that the change covers
 * @param entries the latest entry of each runner that changed
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

  /** Returns whether the change has no effect. */
  public boolean isEmpty() {
    return entries.isEmpty() && removed.isEmpty() && !whole;
  }
}
