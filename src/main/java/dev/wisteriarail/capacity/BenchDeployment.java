package dev.wisteriarail.capacity;

import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.DeploymentSpec;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.config.LoadTimes;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/** The deployment of a measured fleet: a platform section, and a team section per ten models. */
final class BenchDeployment {

  /** Number of models in the section of a team. */
  static final int MODELS_PER_TEAM = 10;

  /** The kind of every request. */
  static final KindId KIND = KindId.of("fault-summary");

  private static final long GIBIBYTE = 1L << 30;
  private static final LoadTimes LOAD_TIMES =
      new LoadTimes(Duration.ofMillis(200), Duration.ofMillis(600), Duration.ofMillis(1_500));

  private BenchDeployment() {}

  static Section platformSection(int runners) {
    return new Section(
        "platform",
        Optional.of(new DeploymentSpec("capacity", 1_000, 1_000, 32, 0.5)),
        List.of(),
        List.of(),
        List.of(),
        List.of(new KindSpec(KIND, Urgency.URGENT, Duration.ofSeconds(20), true)),
        List.of(),
        IntStream.range(0, runners).mapToObj(BenchDeployment::runner).toList());
  }

  static Section teamSection(int team, int models, int weight) {
    int first = team * MODELS_PER_TEAM;
    int end = Math.min(models, first + MODELS_PER_TEAM);
    return new Section(
        "team" + team,
        Optional.empty(),
        IntStream.range(first, end).mapToObj(BenchDeployment::model).toList(),
        List.of(),
        List.of(
            new CustomerSpec(customerOf(first), List.of(), weight, 10_000, 10_000, 10_000, 10_000)),
        List.of(),
        List.of(),
        List.of());
  }

  static int teamCount(int models) {
    return (models + MODELS_PER_TEAM - 1) / MODELS_PER_TEAM;
  }

  static CustomerId customerOf(int model) {
    return CustomerId.of("c" + model / MODELS_PER_TEAM);
  }

  static ModelId modelId(int model) {
    return ModelId.of("m" + model);
  }

  private static ModelSpec model(int number) {
    return new ModelSpec(
        modelId(number), customerOf(number), "v1", 16 * GIBIBYTE, 1, 1, LOAD_TIMES, List.of());
  }

  private static RunnerSpec runner(int number) {
    return new RunnerSpec(
        RunnerId.of("r" + number),
        "http://10.1." + number / 256 + "." + number % 256 + ":8000",
        FailureDomain.of("fd" + number % 7),
        RunnerRole.MODEL,
        640 * GIBIBYTE,
        8,
        64,
        true);
  }
}
