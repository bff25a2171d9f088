package dev.wisteriarail.core.request;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.IdempotencyKey;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.log.RecordBody.CrashSuspected;
import dev.wisteriarail.core.log.RecordBody.IntentChange;
import dev.wisteriarail.core.state.SnapshotPart;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Splitting state into snapshot parts and restoring it from them. */
class SnapshotPartsTest {

  private static final String FINGERPRINT = "print";

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 100, 101, 250})
  void usedKeysAreTheSameAfterSnapshotInParts(int keys) {
    IntentTable original = IntentTable.create(IntentLimits.DEFAULT);
    for (int i = 0; i < keys; i++) {
      original.apply(new RecordBody.IntentBatch(List.of(recorded(i))));
    }
    IntentTable copy = IntentTable.create(IntentLimits.DEFAULT);
    copy.markIncomplete();
    List<SnapshotPart> parts = new IntentSnapshotter(original::snapshot, _ -> {}).snapshot();
    new IntentSnapshotter(copy::snapshot, copy::restore).restore(parts, 0);
    assertThat(copy.snapshot()).isEqualTo(original.snapshot());
    assertThat(copy.snapshot().changes()).hasSize(keys);
    assertThat(copy.isComplete()).isTrue();
  }

  @Test
  void poisonousContentStaysPoisonousAfterSnapshot() {
    CrashHistory original = new CrashHistory();
    for (int i = 0; i < CrashHistory.CRASH_LIMIT; i++) {
      original.apply(
          new CrashSuspected(FINGERPRINT, RunnerId.of("r" + i), Incarnation.of(1)), Instant.EPOCH);
    }
    List<CrashSuspected> restored = new ArrayList<>();
    List<SnapshotPart> parts = new CrashSnapshotter(original::crashes, _ -> {}).snapshot();
    new CrashSnapshotter(List::of, restored::addAll).restore(parts, 0);
    CrashHistory copy = new CrashHistory();
    restored.forEach(crash -> copy.apply(crash, Instant.EPOCH));
    assertThat(copy.isPoison(FINGERPRINT, Instant.EPOCH)).isTrue();
  }

  private static IntentChange recorded(int number) {
    return new RecordBody.IntentRecorded(
        CustomerId.of("c1"),
        IdempotencyKey.of("k" + number),
        "hash",
        RequestId.of("q" + number),
        NodeId.of("n1"),
        Incarnation.of(1));
  }
}
