package dev.wisteriarail.core.request;

import dev.wisteriarail.core.log.RecordBody.CrashSuspected;
import dev.wisteriarail.core.state.ReplicatedState;
import dev.wisteriarail.core.state.SnapshotPart;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Writes the crashes of backend servers to snapshots and restores them. Log records carry no time,
 * so the expiry of a crash starts again when a snapshot is restored.
 */
final class CrashSnapshotter implements ReplicatedState {

  private final Supplier<List<CrashSuspected>> crashes;
  private final Consumer<List<CrashSuspected>> restored;

  CrashSnapshotter(
      Supplier<List<CrashSuspected>> crashes, Consumer<List<CrashSuspected>> restored) {
    this.crashes = crashes;
    this.restored = restored;
  }

  @Override
  public List<SnapshotPart> snapshot() {
    return List.of(new SnapshotPart.CrashPart(crashes.get()));
  }

  @Override
  public void restore(List<SnapshotPart> parts, long through) {
    for (SnapshotPart part : parts) {
      if (part instanceof SnapshotPart.CrashPart crashPart) {
        restored.accept(crashPart.crashes());
      }
    }
  }
}
