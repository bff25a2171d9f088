package dev.wisteriarail.core.placement;

import static com.google.common.truth.Truth.assertThat;
import static dev.wisteriarail.core.placement.PlannerFixture.loads;
import static dev.wisteriarail.core.placement.PlannerFixture.unloads;

import dev.wisteriarail.core.config.CheckpointTier;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class PolicyPlannerTest {

  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final ModelId M0 = ModelId.of("m0");

  private final Instant start = Instant.EPOCH;

  static Stream<PlacementPolicy> policies() {
    return Stream.of(
        PlacementPolicy.arrivalDriven(),
        PlacementPolicy.fixedTimeout(Duration.ofSeconds(1)),
        new PlacementPolicy.LeastRecentlyUsed());
  }

  @ParameterizedTest
  @MethodSource("policies")
  void nearestCheckpointWins(PlacementPolicy policy) {
    PlannerFixture fixture =
        PlannerFixture.of(
            List.of(
                PlannerFixture.model(
                    0,
                    List.of(
                        PlannerFixture.checkpoint(2, CheckpointTier.DISK),
                        PlannerFixture.checkpoint(1, CheckpointTier.MEMORY)))),
            4,
            2,
            0.5);
    fixture.addDemand(0, 1, Urgency.NORMAL, MINUTE);
    assertThat(loads(policy.planner().plan(fixture.view(), start)).getFirst().runner())
        .isEqualTo(RunnerId.of("r1"));
  }

  @ParameterizedTest
  @MethodSource("policies")
  void replicaWithWorkIsNeverEvicted(PlacementPolicy policy) {
    PlannerFixture fixture = PlannerFixture.of(2, 1, 1, 0.01);
    fixture
        .addReplica(0, 0, PlacedPhase.READY, start)
        .addDemand(0, 0, Urgency.BATCH, MINUTE)
        .addDemand(1, 1, Urgency.URGENT, MINUTE);
    Instant late = start.plus(Duration.ofDays(1));
    assertThat(policy.planner().plan(fixture.view(), late)).isEmpty();
  }

  @Test
  void loadsGoByUrgencyThenDeadlineWithinTheStoresConcurrency() {
    PlannerFixture fixture = PlannerFixture.of(6, 6, 1, 0.5);
    fixture
        .addDemand(0, 1, Urgency.BATCH, Duration.ofSeconds(1))
        .addDemand(1, 1, Urgency.NORMAL, Duration.ofSeconds(9))
        .addDemand(2, 1, Urgency.NORMAL, Duration.ofSeconds(5))
        .addDemand(3, 1, Urgency.URGENT, MINUTE)
        .addDemand(4, 1, Urgency.URGENT, Duration.ofSeconds(30))
        .addDemand(5, 1, Urgency.BATCH, MINUTE);
    List<PlacementAction.Load> loads =
        loads(PlacementPolicy.arrivalDriven().planner().plan(fixture.view(), start));
    assertThat(loads.stream().map(load -> load.model().value()))
        .containsExactly("m4", "m3", "m2", "m1")
        .inOrder();
  }

  @Test
  void demandThatLeftIsNotLoaded() {
    PlacementPlanner planner = PlacementPolicy.arrivalDriven().planner();
    PlannerFixture busy = PlannerFixture.of(6, 6, 1, 0.5);
    for (int i = 0; i < 6; i++) {
      busy.addDemand(i, 1, Urgency.NORMAL, Duration.ofSeconds(10 + i));
    }
    assertThat(loads(planner.plan(busy.view(), start))).hasSize(4);
    PlannerFixture later = PlannerFixture.of(6, 6, 1, 0.5);
    later.addDemand(5, 1, Urgency.NORMAL, MINUTE);
    assertThat(loads(planner.plan(later.view(), start.plusSeconds(5))).getFirst().model())
        .isEqualTo(ModelId.of("m5"));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 4, 5, 30})
  void burstGetsOneMoreReplicaOnlyBeyondTheSlots(int waiting) {
    PlannerFixture fixture = PlannerFixture.of(1, 2, 1, 0.5);
    fixture
        .addReplica(0, 0, PlacedPhase.LOADING, start)
        .addDemand(0, waiting, Urgency.NORMAL, MINUTE);
    List<PlacementAction.Load> loads =
        loads(PlacementPolicy.arrivalDriven().planner().plan(fixture.view(), start));
    assertThat(loads).hasSize(waiting == 30 ? 1 : 0);
    if (waiting == 30) {
      assertThat(loads.getFirst().runner()).isEqualTo(RunnerId.of("r1"));
    }
  }

  @Test
  void evictionSparesTheModelThatIsCalledOften() {
    PlacementPlanner planner = PlacementPolicy.arrivalDriven().planner();
    Instant now = start;
    for (int i = 0; i < 60; i++) {
      now = start.plus(MINUTE.multipliedBy(i));
      planner.recordArrivals(M0, 1, now);
    }
    planner.recordArrivals(ModelId.of("m1"), 1, now);
    PlannerFixture fixture = PlannerFixture.of(3, 1, 2, 0.9);
    fixture
        .addReplica(0, 0, PlacedPhase.READY, now)
        .addReplica(1, 0, PlacedPhase.READY, now)
        .addDemand(2, 1, Urgency.URGENT, MINUTE);
    List<PlacementAction> actions = planner.plan(fixture.view(), now.plusSeconds(5));
    assertThat(unloads(actions).stream().map(PlacementAction.Unload::replica))
        .containsExactly(ReplicaId.of("m1.1"));
  }

  @Test
  void modelCalledEveryHourIsLoadedAheadAndNotKeptBetween() {
    PlacementPlanner planner = PlacementPolicy.arrivalDriven().planner();
    for (int i = 0; i < 8; i++) {
      planner.recordArrivals(M0, 1, start.plus(Duration.ofHours(i)));
    }
    Instant last = start.plus(Duration.ofHours(7));
    PlannerFixture held = PlannerFixture.of(1, 1, 1, 0.5);
    held.addReplica(0, 0, PlacedPhase.READY, last);
    assertThat(unloads(planner.plan(held.view(), last.plus(Duration.ofMinutes(25))))).hasSize(1);
    PlannerFixture empty = PlannerFixture.of(1, 1, 1, 0.5);
    assertThat(planner.plan(empty.view(), last.plus(Duration.ofMinutes(50)))).isEmpty();
    Instant ahead = last.plus(Duration.ofHours(1)).minusSeconds(12);
    assertThat(loads(planner.plan(empty.view(), ahead))).hasSize(1);
  }

  @Test
  void weightMovesTheKeepAliveBetweenTheTwoMeasures() {
    assertThat(keptFor(0.1)).isLessThan(keptFor(0.5));
    assertThat(keptFor(0.5)).isLessThan(keptFor(0.95));
  }

  private static Duration keptFor(double weight) {
    PlacementPlanner planner = PlacementPolicy.arrivalDriven().planner();
    Instant start = Instant.EPOCH;
    planner.recordArrivals(M0, 1, start);
    PlannerFixture fixture = PlannerFixture.of(1, 1, 1, weight);
    fixture.addReplica(0, 0, PlacedPhase.READY, start);
    for (int minute = 1; minute < 2_000; minute++) {
      Duration idle = MINUTE.multipliedBy(minute);
      if (!unloads(planner.plan(fixture.view(), start.plus(idle))).isEmpty()) {
        return idle;
      }
    }
    return MINUTE.multipliedBy(2_000);
  }

  @Test
  void fixedTimeoutUnloadsAtItsTime() {
    PlacementPlanner planner = PlacementPolicy.fixedTimeout(MINUTE).planner();
    PlannerFixture fixture = PlannerFixture.of(1, 1, 1, 0.5);
    fixture.addReplica(0, 0, PlacedPhase.READY, start);
    assertThat(planner.plan(fixture.view(), start.plusSeconds(59))).isEmpty();
    assertThat(unloads(planner.plan(fixture.view(), start.plusSeconds(60)))).hasSize(1);
  }
}
