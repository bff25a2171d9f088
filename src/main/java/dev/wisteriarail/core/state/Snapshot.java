package dev.wisteriarail.core.state;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of all ledgers after the record at an offset.
 *
 * @param through offset of the last record that it covers
 * @param parts the parts of all ledgers
 */
public record Snapshot(long through, List<SnapshotPart> parts) {

  /** Size of one entry as text, in characters; {@link SnapshotPart#entries()} counts by it. */
  static final int CHARACTERS_PER_ENTRY = 300;

  /** Numbers of 64 bits that one entry holds as text. */
  static final int NUMBERS_PER_ENTRY = 15;

  /** Entries that one record or message holds at most, unless a single part has more. */
  private static final int MAX_ENTRIES_PER_CHUNK = 200;

  /** Copies the list. */
  public Snapshot {
    parts = List.copyOf(parts);
  }

  /** Returns the parts in chunks that fit one record or message each; never empty. */
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
