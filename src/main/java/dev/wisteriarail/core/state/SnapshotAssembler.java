package dev.wisteriarail.core.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Assembles snapshots from chunks that may arrive in any order and more than once.
 *
 * <p>Keeps a bounded number of incomplete snapshots and evicts the oldest. Not thread-safe.
 */
final class SnapshotAssembler {

  private static final int MAX_INCOMPLETE = 4;

  private final Map<String, Map<Integer, List<SnapshotPart>>> incomplete = new LinkedHashMap<>();

  /**
   * Adds a chunk.
   *
   * @param name identifies the snapshot
   * @return the snapshot if this was its last missing chunk
   */
  Optional<Snapshot> add(
      String name, long through, int index, int count, List<SnapshotPart> parts) {
    Map<Integer, List<SnapshotPart>> chunks =
        incomplete.computeIfAbsent(name, key -> new TreeMap<>());
    chunks.put(index, parts);
    if (chunks.size() < count) {
      evictOldest();
      return Optional.empty();
    }
    incomplete.remove(name);
    List<SnapshotPart> all = new ArrayList<>();
    chunks.values().forEach(all::addAll);
    return Optional.of(new Snapshot(through, all));
  }

  private void evictOldest() {
    if (incomplete.size() > MAX_INCOMPLETE) {
      incomplete.remove(incomplete.keySet().iterator().next());
    }
  }
}
