package dev.wisteriarail.core.request;

import dev.wisteriarail.core.log.RecordBody.IntentChange;
import java.util.List;

/**
 * The complete state of an {@link IntentTable}, for snapshots in the log and for peers.
 *
 * @param changes the changes that produce the state, in order
 * @param expiredDigests digests of the expired keys, oldest first
 */
public record IntentSnapshot(List<IntentChange> changes, List<Long> expiredDigests) {

  /** Copies the lists. */
  public IntentSnapshot {
    changes = List.copyOf(changes);
    expiredDigests = List.copyOf(expiredDigests);
  }
}
