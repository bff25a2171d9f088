package dev.wisteriarail.core.request;

import dev.wisteriarail.core.log.RecordBody.IntentChange;
import dev.wisteriarail.core.state.ReplicatedState;
import dev.wisteriarail.core.state.SnapshotPart;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Splits the state of the idempotency keys into parts of a snapshot, and restores it from them. */
final class IntentSnapshotter implements ReplicatedState {

  private static final int CHANGES_PER_PART = 100;

  private final Supplier<IntentSnapshot> state;
  private final Consumer<IntentSnapshot> restored;

  IntentSnapshotter(Supplier<IntentSnapshot> state, Consumer<IntentSnapshot> restored) {
    this.state = state;
    this.restored = restored;
  }

  @Override
  public List<SnapshotPart> snapshot() {
    IntentSnapshot snapshot = state.get();
    List<IntentChange> changes = snapshot.changes();
    List<SnapshotPart> parts = new ArrayList<>();
    parts.add(new SnapshotPart.IntentPart(List.of(), snapshot.expiredDigests()));
    for (int from = 0; from < changes.size(); from += CHANGES_PER_PART) {
      int to = Math.min(changes.size(), from + CHANGES_PER_PART);
      parts.add(new SnapshotPart.IntentPart(changes.subList(from, to), List.of()));
    }
    return parts;
  }

  @Override
  public void restore(List<SnapshotPart> parts, long through) {
    List<IntentChange> changes = new ArrayList<>();
    List<Long> expired = new ArrayList<>();
    for (SnapshotPart part : parts) {
      if (part instanceof SnapshotPart.IntentPart intents) {
        changes.addAll(intents.changes());
        expired.addAll(intents.expired());
      }
    }
    restored.accept(new IntentSnapshot(changes, expired));
  }
}
