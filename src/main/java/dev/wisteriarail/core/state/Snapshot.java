package dev.wisteriarail.core.state;

import java.util.ArrayList;
import java.util.List;

/**
 * Snapshot of all replicated states after the record at an offset.
 *
 * @param through offset of the last record that it covers
 * @param parts the parts of all states
 */
public record Snapshot(long through, List<SnapshotPart> parts) {

  /** Size of one entry as text, in characters; the unit of {@link SnapshotPart#entries()}. */
  static final int CHARACTERS_PER_ENTRY = 300;

  /** Number of 64-bit integers as text that fit into one entry. */
  static final int NUMBERS_PER_ENTRY = 15;

  /** Maximum number of entries in one record or message, unless a single part has more. */
  private static final int MAX_ENTRIES_PER_CHUNK = 200;

  /** Copies the list. */
  public Snapshot {
    parts = List.copyOf(parts);
  }

  /** Returns the parts in chunks that each fit into one record or message; at least one chunk. */
  public List<List<SnapshotPart>> chunks() {
    List<List<SnapshotPart>> chunks = new ArrayList<>();
    List<SnapshotPart> chunk = new ArrayList<>();
    int entries = 0;
    for (SnapshotPart part : parts) {
      if (!chunk.isEmpty() && entries + part.entries() > MAX_ENTRIES_PER_CHUNK) {
        chunks.add(List.copyOf(chunk));
        chunk.clear();
        entries = 0;
      }
      chunk.add(part);
      entries += part.entries();
    }
    chunks.add(List.copyOf(chunk));
    return chunks;
  }
}
