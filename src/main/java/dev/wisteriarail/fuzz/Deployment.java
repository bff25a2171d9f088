package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.DeploymentSpec;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.config.LoadTimes;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.ServiceSpec;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.id.ServiceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/** The small deployment that fuzz runs simulate: teams, models, kinds, services and runners. */
final class Deployment {

  /** Number of teams; each has its own section, customer and models. */
  static final int TEAMS = 3;

  /** Models of each team. */
  static final int MODELS_PER_TEAM = 3;

  /** A repeatable kind of urgent requests. */
  static final KindSpec URGENT =
      new KindSpec(KindId.of("fault-summary"), Urgency.URGENT, Duration.ofSeconds(8), true);

  /** A repeatable kind of batch requests. */
  static final KindSpec BATCH =
      new KindSpec(KindId.of("survey-report"), Urgency.BATCH, Duration.ofSeconds(30), true);

  /** A kind that may not be repeated. */
  static final KindSpec DISPATCH =
      new KindSpec(KindId.of("repair-dispatch"), Urgency.URGENT, Duration.ofSeconds(10), false);

  /** A service whose servers run every request they receive. */
  static final ServiceId PLAIN_SERVICE = ServiceId.of("dispatch");

  /** A service whose servers run requests with the same key once. */
  static final ServiceId DEDUPLICATING_SERVICE = ServiceId.of("orders");

  private static final long GIBIBYTE = 1L << 30;
  private static final long RUNNER_BYTES = 80 * GIBIBYTE;
  private static final LoadTimes LOAD_TIMES =
      new LoadTimes(Duration.ofMillis(200), Duration.ofMillis(600), Duration.ofMillis(1_500));

  private Deployment() {}

  /** Returns the section of the platform's operators. */
  static Section platform() {
    return new Section(
        "platform",
        Optional.of(new DeploymentSpec("fuzz", 7.0, 4, 32, 0.5)),
        List.of(),
        List.of(),
        List.of(),
        List.of(URGENT, BATCH, DISPATCH),
        List.of(
            new ServiceSpec(PLAIN_SERVICE, List.of(runner("app1"), runner("app2")), false),
            new ServiceSpec(DEDUPLICATING_SERVICE, List.of(runner("app2")), true)),
        runners());
  }

  /** Returns a team's section. Variants differ in limits only, so all requests stay valid. */
  static Section team(int team, int variant) {
    List<ModelSpec> models = new ArrayList<>();
    for (int i = 0; i < MODELS_PER_TEAM; i++) {
      int maxReplicas = 1 + (variant + i) % 2;
      long bytes = (16 + 8L * i) * GIBIBYTE;
      models.add(
          new ModelSpec(
              model(team, i), customer(team), "v1", bytes, 1, maxReplicas, LOAD_TIMES, List.of()));
    }
    return new Section(
        "team" + team,
        Optional.empty(),
        models,
        List.of(),
        List.of(new CustomerSpec(customer(team), List.of(), 1 + variant % 3, 200, 200, 200, 200)),
        List.of(),
        List.of(),
        List.of());
  }

  /** Returns a team's model. */
  static ModelId model(int team, int number) {
    return ModelId.of("m" + team + "-" + number);
  }

  /** Returns a team's customer. */
  static CustomerId customer(int team) {
    return CustomerId.of("c" + team);
  }

  /** Returns all runners. Two of the three engines check fencing numbers. */
  static List<RunnerSpec> runners() {
    return List.of(
        engine("r1", true),
        engine("r2", false),
        engine("r3", true),
        server("app1"),
        server("app2"));
  }

  /** Returns a node's failure domain. */
  static FailureDomain failureDomain(int node) {
    return FailureDomain.of("fd" + node % 3);
  }

  /** Returns the chunks of the expected answer to a request. */
  static List<String> pieces(String tag, int count) {
    return IntStream.range(0, count).mapToObj(i -> tag + ":" + i + " ").toList();
  }

  // Helpers

  private static RunnerId runner(String name) {
    return RunnerId.of(name);
  }

  private static RunnerSpec engine(String name, boolean checksFencing) {
    return new RunnerSpec(
        runner(name),
        "http://127.0.0.1:1",
        FailureDomain.of("fd0"),
        RunnerRole.MODEL,
        RUNNER_BYTES,
        8,
        8,
        checksFencing);
  }

  private static RunnerSpec server(String name) {
    return new RunnerSpec(
        runner(name),
        "http://127.0.0.1:1",
        FailureDomain.of("fd1"),
        RunnerRole.APPLICATION,
        0,
        0,
        16,
        false);
  }
}
