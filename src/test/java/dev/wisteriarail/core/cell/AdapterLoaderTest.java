package dev.wisteriarail.core.cell;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.log.RecordBody;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AdapterLoaderTest {

  private static final Duration SOON = Duration.ofSeconds(4);
  private static final Duration LONG = Duration.ofSeconds(20);
  private static final Optional<AdapterId> ADAPTER = Optional.of(AdapterId.of("a1"));

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void requestWaitsForItsAdapterAndIsAnswered(boolean losesAnswers) {
    CellFleet fleet = fleetWithAdapter();
    fleet.engine("r1").losesAnswers = losesAnswers;
    RequestId id = fleet.send(fleet.node("n1"), "m1", ADAPTER);
    fleet.run(LONG);
    assertThat(fleet.answered).containsKey(id);
  }

  @Test
  void decisionReservesTheMemoryOfTheAdapters() {
    CellFleet fleet = fleetWithAdapter();
    fleet.send(fleet.node("n1"), "m1");
    fleet.send(fleet.node("n2"), "m2");
    fleet.run(LONG);
    assertThat(decidedBytes(fleet, "m1"))
        .containsExactly(CellFleet.MODEL_BYTES + CellFleet.GIBIBYTE / 4);
    assertThat(decidedBytes(fleet, "m2")).containsExactly(CellFleet.MODEL_BYTES);
    assertThat(fleet.engine("r1").overcommitted()).isEqualTo(0);
  }

  @Test
  void replicaWithoutRoomForNewAdapterIsLoadedAgain() {
    CellFleet fleet = CellFleet.of(2, 1, true);
    fleet.run(SOON);
    fleet.send(fleet.node("n1"), "m1");
    fleet.run(SOON);
    fleet.addAdapter("a1", "m1");
    fleet.publish();
    fleet.run(SOON);
    RequestId id = fleet.send(fleet.node("n2"), "m1", ADAPTER);
    fleet.run(LONG);
    assertThat(fleet.answered).containsKey(id);
    assertThat(fleet.engine("r1").loads).hasSize(2);
  }

  private static List<Long> decidedBytes(CellFleet fleet, String model) {
    return fleet.records(RecordBody.LoadDecided.class).stream()
        .filter(load -> load.model().equals(ModelId.of(model)))
        .map(RecordBody.LoadDecided::bytes)
        .toList();
  }

  private static CellFleet fleetWithAdapter() {
    CellFleet fleet = CellFleet.of(2, 1, true);
    fleet.addAdapter("a1", "m1");
    fleet.publish();
    fleet.run(SOON);
    return fleet;
  }
}
