package dev.wisteriarail.core.request;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.IdempotencyKey;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.log.RecordBody.IntentChange;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Expiry, conclusions and snapshots of idempotency keys. */
class IntentTableTest {

  private static final CustomerId CUSTOMER = CustomerId.of("c1");
  private static final IntentLimits LIMITS = new IntentLimits(2, 2, 100);

  @Test
  void keysBeyondTheLimitExpireAndAreStillRecognised() {
    IntentTable table = IntentTable.create(LIMITS);
    for (int i = 1; i <= 4; i++) {
      table.apply(recorded("k" + i, "q" + i));
    }
    assertThat(table.isExpired(key("k1"))).isTrue();
    assertThat(table.find(key("k4"))).isNotEqualTo(Optional.empty());
    table.apply(recorded("k1", "q9"));
    assertThat(table.find(key("k1"))).isEqualTo(Optional.empty());
  }

  @Test
  void gapIsIncompleteUntilSnapshotIsRestored() {
    IntentTable table = IntentTable.create(LIMITS);
    table.markIncomplete();
    assertThat(table.isComplete()).isFalse();
    table.restore(new IntentSnapshot(List.of(), List.of()));
    assertThat(table.isComplete()).isTrue();
  }

  /** A reader that starts from a snapshot ends in the same state as one that read the whole log. */
  @Property
  void snapshotAndRestOfTheLogGiveTheSameState(@ForAll("changes") List<IntentChange> changes) {
    IntentTable complete = IntentTable.create(LIMITS);
    changes.forEach(complete::apply);
    for (int offset = 0; offset <= changes.size(); offset++) {
      IntentTable before = IntentTable.create(LIMITS);
      changes.subList(0, offset).forEach(before::apply);
      IntentTable after = IntentTable.create(LIMITS);
      after.restore(before.snapshot());
      changes.subList(offset, changes.size()).forEach(after::apply);
      assertThat(after.snapshot()).isEqualTo(complete.snapshot());
    }
  }

  /** A concluded key keeps its conclusion until it expires and is never acquired again. */
  @Property
  void concludedKeyIsNeverHeldByAnotherRequest(@ForAll("changes") List<IntentChange> changes) {
    IntentTable table = IntentTable.create(new IntentLimits(100, 100, 100));
    for (IntentChange change : changes) {
      Optional<IntentState> before = table.find(IntentKey.of(change));
      table.apply(change);
      if (before.filter(state -> !state.isOpen()).isPresent()) {
        assertThat(table.find(IntentKey.of(change))).isEqualTo(before);
      }
    }
  }

  @Provide
  Arbitrary<List<IntentChange>> changes() {
    Arbitrary<String> keys = Arbitraries.of("k1", "k2", "k3", "k4");
    Arbitrary<String> requests = Arbitraries.of("q1", "q2", "q3");
    return Combinators.combine(keys, requests, Arbitraries.integers().between(0, 2))
        .as(IntentTableTest::change)
        .list()
        .ofMaxSize(20);
  }

  private static IntentChange change(String key, String request, int kind) {
    return switch (kind) {
      case 0 -> recorded(key, request);
      case 1 ->
          new RecordBody.IntentFinished(
              CUSTOMER, IdempotencyKey.of(key), RequestId.of(request), 200, "done " + request);
      default ->
          new RecordBody.IntentReleased(CUSTOMER, IdempotencyKey.of(key), RequestId.of(request));
    };
  }

  private static IntentChange recorded(String key, String request) {
    return new RecordBody.IntentRecorded(
        CUSTOMER,
        IdempotencyKey.of(key),
        "hash",
        RequestId.of(request),
        NodeId.of("n1"),
        Incarnation.of(1));
  }

  private static IntentKey key(String key) {
    return new IntentKey(CUSTOMER, IdempotencyKey.of(key));
  }
}
