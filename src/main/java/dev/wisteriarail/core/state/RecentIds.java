package dev.wisteriarail.core.state;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.id.RecordId;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Sliding window of the identifiers of the newest records, used to detect repeated records.
 *
 * <p>The window is a number of distinct records rather than a time span, so that every reader
 * evicts the same identifiers at the same offset. At 300 appends per second it spans 27 s. That is
 * enough, because a writer gives up an append after 10 s and then uses a new identifier.
 * Identifiers are stored as the first 64 bits of their SHA-256 hash.
 *
 * <p>Not thread-safe.
 */
final class RecentIds implements ReplicatedState {

  /** Number of distinct records in the window. */
  static final int WINDOW = 8_192;

  private static final int BYTES_PER_HASH = Long.BYTES;

  private final Deque<Long> order = new ArrayDeque<>();
  private final Set<Long> hashes = new HashSet<>();
  private final MessageDigest digest = sha256();

  /** Adds an identifier; returns whether it is new. */
  boolean add(RecordId id) {
    return add(hash(id));
  }

  private boolean add(long hash) {
    if (!hashes.add(hash)) {
      return false;
    }
    order.addLast(hash);
    if (order.size() > WINDOW) {
      hashes.remove(order.removeFirst());
    }
    return true;
  }

  @Override
  public List<SnapshotPart> snapshot() {
    byte[] bytes = new byte[order.size() * BYTES_PER_HASH];
    int index = 0;
    for (long hash : order) {
      for (int shift = Long.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
        bytes[index] = (byte) (hash >>> shift);
        index++;
      }
    }
    return List.of(new SnapshotPart.RecentIdsPart(Base64.getEncoder().encodeToString(bytes)));
  }

  @Override
  public void restore(List<SnapshotPart> parts, long through) {
    order.clear();
    hashes.clear();
    for (SnapshotPart part : parts) {
      if (part instanceof SnapshotPart.RecentIdsPart recentIds) {
        restore(Base64.getDecoder().decode(recentIds.hashes()));
      }
    }
  }

  private void restore(byte[] bytes) {
    for (int index = 0; index + BYTES_PER_HASH <= bytes.length; index += BYTES_PER_HASH) {
      add(toLong(bytes, index));
    }
  }

  // Helpers

  private long hash(RecordId id) {
    return toLong(digest.digest(id.value().getBytes(UTF_8)), 0);
  }

  private static long toLong(byte[] bytes, int from) {
    long value = 0;
    for (int i = 0; i < BYTES_PER_HASH; i++) {
      value = value << Byte.SIZE | Byte.toUnsignedLong(bytes[from + i]);
    }
    return value;
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException(missing);
    }
  }
}
