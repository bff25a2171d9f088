package dev.wisteriarail.core.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Puts chunks together to whole snapshots, in whatever order and however often they come.
 *
 * <p>Keeps a few incomplete snapshots at a time and forgets the oldest. Not thread-safe.
 */
final class SnapshotAssembler {

  private static final int MAX_INCOMPLETE = 4;

  private final Map<String, Map<Integer, List<SnapshotPart>>> incomplete = new LinkedHashMap<>();

  /**
   * Takes one chunk.
   *
   * @param name tells the snapshots apart
   * @return the snapshot, once its last chunk came
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
