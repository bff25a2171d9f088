package dev.wisteriarail.core.placement;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class PlannerLimitsTest {

  private static final List<PlacedPhase> PHASES =
      List.of(PlacedPhase.LOADING, PlacedPhase.READY, PlacedPhase.UNLOADING);

  @Property(tries = 300)
  void roundKeepsMemoryReplicasAndConcurrencyAndIsDeterministic(
      @ForAll @Size(min = 1, max = 30) List<@IntRange(max = 9) Integer> demandedModels,
      @ForAll @Size(max = 12) List<@IntRange(max = 9) Integer> heldModels,
      @ForAll @IntRange(min = 1, max = 4) int runners) {
    PlacementPlanner planner = PlacementPolicy.arrivalDriven().planner();
    PlacementPlanner twin = PlacementPolicy.arrivalDriven().planner();
    PlacementView view = view(demandedModels, heldModels, runners);
    for (int round = 0; round < 3; round++) {
      Instant now = Instant.EPOCH.plusSeconds(300L * round);
      planner.recordArrivals(ModelId.of("m" + round), 1, now);
      twin.recordArrivals(ModelId.of("m" + round), 1, now);
      List<PlacementAction> actions = planner.plan(view, now);
      assertThat(twin.plan(view, now)).isEqualTo(actions);
      checkLimits(view, actions);
    }
  }

  private static PlacementView view(
      List<Integer> demandedModels, List<Integer> heldModels, int runners) {
    PlannerFixture fixture = PlannerFixture.of(10, runners, 3, 0.5);
    int[] used = new int[runners];
    for (int i = 0; i < heldModels.size(); i++) {
      int runner = i % runners;
      if (used[runner] < 3) {
        used[runner]++;
        PlacedPhase phase = PHASES.get(heldModels.get(i) % PHASES.size());
        fixture.addReplica(heldModels.get(i), runner, phase, Instant.EPOCH);
      }
    }
    demandedModels.stream()
        .distinct()
        .forEach(model -> fixture.addDemand(model, 40, Urgency.NORMAL, Duration.ofSeconds(30)));
    return fixture.view();
  }

  private static void checkLimits(PlacementView view, List<PlacementAction> actions) {
    Map<RunnerId, Long> free = new HashMap<>(view.freeBytes());
    Map<ModelId, Integer> count = new HashMap<>();
    view.replicas().forEach(replica -> count.merge(replica.model(), 1, Integer::sum));
    for (PlacementAction.Load load : PlannerFixture.loads(actions)) {
      assertThat(free.merge(load.runner(), -16 * PlannerFixture.GIBIBYTE, Long::sum)).isAtLeast(0);
      assertThat(count.merge(load.model(), 1, Integer::sum)).isAtMost(2);
    }
    assertThat(PlannerFixture.loads(actions).size()).isAtMost(4);
    for (PlacementAction.Unload unload : PlannerFixture.unloads(actions)) {
      PlacedReplica replica =
          view.replicas().stream()
              .filter(one -> one.replica().equals(unload.replica()))
              .findFirst()
              .orElseThrow();
      assertThat(replica.phase()).isEqualTo(PlacedPhase.READY);
      assertThat(replica.activeRequests()).isEqualTo(0);
    }
  }
}
