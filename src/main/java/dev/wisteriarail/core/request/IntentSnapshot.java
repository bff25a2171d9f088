package dev.wisteriarail.core.request;

import dev.wisteriarail.core.log.RecordBody.IntentChange;
import java.util.List;

/**
 * The whole state of an {@link IntentLedger}, for snapshots in the log and for peers.
 *
 * @param changes the changes that lead to the state, in order
 * @param expired digests of keys that are too old to be kept, oldest first
 */
public record IntentSnapshot(List<IntentChange> changes, List<Long> expired) {

  /** Copies the lists. */
  public IntentSnapshot {
    changes = List.copyOf(changes);
    expired = List.copyOf(expired);
  }
}
