package dev.wisteriarail.core.cell;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Properties of a cell's state that hold for every sequence of log records. */
class CellStateProperties {

  private static final CellId CELL = CellId.of("main");

  /** The choices from which one record is generated. */
  record Draw(int kind, int fence, int replica, int node) {}

  @Provide
  Arbitrary<List<Draw>> draws() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 8),
            Arbitraries.integers().between(0, 2),
            Arbitraries.integers().between(0, 5),
            Arbitraries.integers().between(1, 3))
        .as(Draw::new)
        .list()
        .ofMaxSize(60);
  }

  @Property(tries = 300)
  void stateRestoredFromSnapshotBehavesLikeTheOneThatReadAll(
      @ForAll("draws") List<Draw> draws, @ForAll("cut") int restoreIndex) {
    CellState original = CellState.create(CELL);
    CellState restored = CellState.create(CELL);
    restored.apply(new LogRecord(0, RecordId.of("x"), "n9", claim(FencingNumber.NONE, 9)));
    for (int i = 0; i < draws.size(); i++) {
      if (i == Math.min(restoreIndex, draws.size() - 1)) {
        restored.restore(original.snapshot(), i);
      }
      LogRecord logRecord = record(i, draws.get(i), original);
      boolean valid = original.apply(logRecord);
      if (i >= restoreIndex) {
        assertThat(restored.apply(logRecord)).isEqualTo(valid);
        assertThat(restored.snapshot()).isEqualTo(original.snapshot());
        assertThat(restored.reservations())
            .containsExactlyElementsIn(original.reservations())
            .inOrder();
      }
    }
  }

  @Provide
  Arbitrary<Integer> cut() {
    return Arbitraries.integers().between(0, 59);
  }

  @Property(tries = 300)
  void decisionsUnderReplacedOrReleasedClaimsChangeNothing(@ForAll("draws") List<Draw> draws) {
    CellState cellState = CellState.create(CELL);
    for (int i = 0; i < draws.size(); i++) {
      LogRecord logRecord = record(i, draws.get(i), cellState);
      List<Reservation> before = List.copyOf(cellState.reservations());
      boolean current =
          cellState.claim().isPresent() && fenceOf(logRecord.body()).equals(cellState.fence());
      cellState.apply(logRecord);
      if (!current) {
        assertThat(cellState.reservations()).containsExactlyElementsIn(before);
      }
    }
  }

  @Property(tries = 300)
  void replicaThatWasClosedIsNeverReservedAgain(@ForAll("draws") List<Draw> draws) {
    CellState cellState = CellState.create(CELL);
    List<ReplicaId> closed = new ArrayList<>();
    for (int i = 0; i < draws.size(); i++) {
      LogRecord logRecord = record(i, draws.get(i), cellState);
      boolean valid = cellState.apply(logRecord);
      if (valid && logRecord.body() instanceof RecordBody.ReplicaClosed closedRecord) {
        closed.add(closedRecord.replica());
      }
      for (ReplicaId replica : closed) {
        assertThat(cellState.reservation(replica)).isEqualTo(Optional.empty());
      }
    }
  }

  // Helpers

  private static LogRecord record(int offset, Draw draw, CellState cellState) {
    FencingNumber fence = draw.fence() == 0 ? FencingNumber.of(draw.node()) : cellState.fence();
    ReplicaId replica = ReplicaId.of("m." + draw.replica());
    RecordBody body =
        switch (draw.kind()) {
          case 0 -> claim(fence, draw.node());
          case 1 -> new RecordBody.ClaimReleased(CELL, fence);
          case 2, 3 -> load(fence, replica);
          case 4 -> new RecordBody.UnloadDecided(CELL, fence, replica);
          case 5 -> new RecordBody.LoadSettled(CELL, fence, replica);
          case 6 -> new RecordBody.ReplicaClosed(CELL, fence, replica, "test");
          case 7 ->
              new RecordBody.SuccessionNamed(
                  CELL,
                  fence,
                  draw.replica(),
                  List.of(new Successor(NodeId.of("n" + draw.node()), Incarnation.of(1))));
          default ->
              new RecordBody.PredecessorAbsorbed(CELL, fence, FencingNumber.of(draw.replica()));
        };
    return new LogRecord(offset, RecordId.of("r" + offset), "n1", body);
  }

  private static RecordBody.ClaimRecorded claim(FencingNumber previous, int node) {
    return new RecordBody.ClaimRecorded(
        CELL, NodeId.of("n" + node), Incarnation.of(1), previous, List.of());
  }

  private static RecordBody.LoadDecided load(FencingNumber fence, ReplicaId replica) {
    return new RecordBody.LoadDecided(
        CELL, fence, replica, ModelId.of("m"), "v1", RunnerId.of("r1"), 1);
  }

  private static FencingNumber fenceOf(RecordBody body) {
    return switch (body) {
      case RecordBody.LoadDecided load -> load.fence();
      case RecordBody.UnloadDecided unload -> unload.fence();
      case RecordBody.LoadSettled settled -> settled.fence();
      case RecordBody.ReplicaClosed closedRecord -> closedRecord.fence();
      default -> FencingNumber.NONE;
    };
  }
}
