package dev.wisteriarail.core.request;

import dev.wisteriarail.core.log.RecordBody.CrashSuspected;
import dev.wisteriarail.core.state.Ledger;
import dev.wisteriarail.core.state.LedgerSnapshot;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Puts the crashes of backend servers into snapshots. Their expiry starts anew where a snapshot is
 * restored, since log records carry no time.
 */
final class CrashSnapshots implements Ledger {

  private final Supplier<List<CrashSuspected>> crashes;
  private final Consumer<List<CrashSuspected>> restored;

  CrashSnapshots(Supplier<List<CrashSuspected>> crashes, Consumer<List<CrashSuspected>> restored) {
    this.crashes = crashes;
    this.restored = restored;
  }

  @Override
  public List<LedgerSnapshot> snapshot() {
    return List.of(new LedgerSnapshot.CrashPart(crashes.get()));
  }

  @Override
  public void restore(List<LedgerSnapshot> parts, long through) {
    for (LedgerSnapshot part : parts) {
      if (part instanceof LedgerSnapshot.CrashPart held) {
        restored.accept(held.crashes());
      }
    }
  }
}
