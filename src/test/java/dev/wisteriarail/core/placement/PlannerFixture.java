package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.CheckpointLocation;
import dev.wisteriarail.core.config.CheckpointTier;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.DeploymentSpec;
import dev.wisteriarail.core.config.LoadTimes;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.peer.Demand;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** A small deployment, and the demand and replicas that a test adds to it. */
final class PlannerFixture {

  static final long GIBIBYTE = 1L << 30;
  static final int SLOTS = 4;

  final List<Demand> demands = new ArrayList<>();
  final List<PlacedReplica> replicas = new ArrayList<>();
  private final Configuration configuration;

  private PlannerFixture(Configuration configuration) {
    this.configuration = configuration;
  }

  /** Creates models m0, m1, ... of 16 GiB and runners r0, r1, ... with memory for some models. */
  static PlannerFixture of(int models, int runners, int modelsPerRunner, double coldStartWeight) {
    List<ModelSpec> specs = new ArrayList<>();
    for (int i = 0; i < models; i++) {
      specs.add(model(i, List.of()));
    }
    return of(specs, runners, modelsPerRunner, coldStartWeight);
  }

  static PlannerFixture of(
      List<ModelSpec> models, int runners, int modelsPerRunner, double coldStartWeight) {
    List<RunnerSpec> specs = new ArrayList<>();
    for (int i = 0; i < runners; i++) {
      specs.add(
          new RunnerSpec(
              RunnerId.of("r" + i),
              "http://127.0.0.1:1",
              FailureDomain.of("fd" + i % 2),
              RunnerRole.MODEL,
              modelsPerRunner * 16L * GIBIBYTE,
              8,
              SLOTS,
              true));
    }
    Section section =
        new Section(
            "test",
            Optional.of(new DeploymentSpec("test", 7, 4, 32, coldStartWeight)),
            models,
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            specs);
    return new PlannerFixture(Configuration.merge(Revision.of(1), List.of(section)));
  }

  static ModelSpec model(int number, List<CheckpointLocation> checkpoints) {
    LoadTimes times =
        new LoadTimes(Duration.ofSeconds(1), Duration.ofSeconds(4), Duration.ofSeconds(10));
    return new ModelSpec(
        ModelId.of("m" + number),
        CustomerId.of("c1"),
        "v1",
        16 * GIBIBYTE,
        1,
        2,
        times,
        checkpoints);
  }

  static CheckpointLocation checkpoint(int runner, CheckpointTier tier) {
    return new CheckpointLocation(RunnerId.of("r" + runner), tier);
  }

  PlannerFixture addDemand(int model, int waiting, Urgency urgency, Duration remaining) {
    demands.add(
        new Demand(ModelId.of("m" + model), Optional.empty(), urgency, waiting, 0, 0, remaining));
    return this;
  }

  PlannerFixture addReplica(int model, int runner, PlacedPhase phase, Instant lastUsed) {
    replicas.add(
        new PlacedReplica(
            ReplicaId.of("m" + model + "." + replicas.size()),
            ModelId.of("m" + model),
            "v1",
            RunnerId.of("r" + runner),
            16 * GIBIBYTE,
            phase,
            0,
            lastUsed));
    return this;
  }

  PlacementView view() {
    Map<RunnerId, Long> free = new TreeMap<>();
    configuration.runners().forEach((id, runner) -> free.put(id, runner.memoryBytes()));
    replicas.forEach(held -> free.merge(held.runner(), -held.bytes(), Long::sum));
    return new PlacementView(configuration, demands, replicas, free);
  }

  static List<PlacementAction.Load> loads(List<PlacementAction> actions) {
    return actions.stream()
        .filter(PlacementAction.Load.class::isInstance)
        .map(PlacementAction.Load.class::cast)
        .toList();
  }

  static List<PlacementAction.Unload> unloads(List<PlacementAction> actions) {
    return actions.stream()
        .filter(PlacementAction.Unload.class::isInstance)
        .map(PlacementAction.Unload.class::cast)
        .toList();
  }
}
