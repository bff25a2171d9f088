package dev.wisteriarail.core.request;

import dev.wisteriarail.core.log.RecordBody.IntentChange;
import java.util.List;

/**
 * The whole state of an {@link IntentTable}, for snapshots in the log and for peers.
 *
 * @param changes the changes that lead to the state, in order
 * @param expiredDigests digests of keys that are too old to be kept, oldest first
 */
public record IntentSnapshot(List<IntentChange> changes, List<Long> expiredDigests) {

  /** Copies the lists. */
  public IntentSnapshot {
    changes = List.copyOf(changes);
    expiredDigests = List.copyOf(expiredDigests);
  }
}
