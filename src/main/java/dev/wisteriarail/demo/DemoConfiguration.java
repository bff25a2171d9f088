package dev.wisteriarail.demo;

import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.DeploymentSpec;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.config.LoadTimes;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.ServiceSpec;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.id.ServiceId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** The configuration of the demo: one customer, a few models and a few request kinds. */
final class DemoConfiguration {

  /** The customer's bearer token. */
  static final String TOKEN = "demo-token";

  /** SHA-256 of the token. */
  private static final String TOKEN_HASH =
      "7c43ef5ae21d43ce2743f770c68e24def1a43ee2f416d2438410c8af7af2ff2c";

  private static final CustomerId CUSTOMER = CustomerId.of("c01");
  private static final long MODEL_BYTES = 16L * 1024 * 1024 * 1024;

  /** The model that the configuration change of the demo adds. */
  static final ModelId ADDED_MODEL = ModelId.of("m101");

  private DemoConfiguration() {}

  /** Returns the section of another team, which adds one model. */
  static Section addedModelSection() {
    return new Section(
        "added",
        Optional.empty(),
        List.of(model(ADDED_MODEL.value())),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of());
  }

  /** Returns the main section of the demo with the given runners. */
  static Section demoSection(List<RunnerSpec> runners) {
    return new Section(
        "demo",
        Optional.of(new DeploymentSpec("demo", 7.0, 4, 32, 0.7)),
        List.of(model("m001"), model("m002"), model("m003")),
        List.of(),
        List.of(new CustomerSpec(CUSTOMER, List.of(TOKEN_HASH), 1, 10_000, 10_000, 1_000, 1_000)),
        List.of(
            new KindSpec(KindId.of("default"), Urgency.NORMAL, Duration.ofSeconds(30), true),
            new KindSpec(KindId.of("fault-summary"), Urgency.URGENT, Duration.ofSeconds(10), true),
            new KindSpec(
                KindId.of("repair-dispatch"), Urgency.URGENT, Duration.ofSeconds(10), false)),
        List.of(new ServiceSpec(ServiceId.of("dispatch"), List.of(RunnerId.of("app1")), false)),
        runners);
  }

  private static ModelSpec model(String name) {
    LoadTimes times =
        new LoadTimes(Duration.ofMillis(100), Duration.ofMillis(200), Duration.ofMillis(400));
    return new ModelSpec(ModelId.of(name), CUSTOMER, "v1", MODEL_BYTES, 1, 1, times, List.of());
  }
}
