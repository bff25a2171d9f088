package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.route.CallerBounds;
import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.HostedModel;
import dev.wisteriarail.core.route.ServicePool;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the coordinator's forecasts for models and adapters while no order may be sent yet. */
final class CoordinatorForecastTest {

  private static final Instant NOW = Instant.EPOCH.plusSeconds(100);
  private static final Duration BLOCKED = Duration.ofMillis(3_800);
  private static final String SERVICE = "engines";

  private final Coordinator coordinator = Coordinator.create();
  private final GatewayConfiguration configuration = configuration();

  private static GatewayConfiguration configuration() {
    HostedModel model =
        new HostedModel(
            "m0", 60, Duration.ofSeconds(6), Duration.ofMillis(840), Duration.ofMillis(630), 8, 1);
    EngineSpec engine = new EngineSpec(8, 100_000, 130, 4, 5, List.of(model));
    return GatewayConfiguration.withoutTenants(
        1,
        List.of(),
        Map.of(SERVICE, new ServicePool(SERVICE, 100, Optional.of(engine))),
        CallerBounds.DEFAULT);
  }

  @BeforeEach
  void addEngineWithOneAdapter() {
    RunnerDirectory directory = RunnerDirectory.create();
    RunnerEntry entry =
        new RunnerEntry(
            "e1",
            SERVICE,
            "10.0.1.1",
            80,
            "a",
            6,
            false,
            1,
            0,
            List.of(new LoadedModel("m0", List.of("a1"))),
            Set.of(),
            Set.of());
    directory.accept(
        new DirectoryChange(
            true, LogPosition.of(0, 0), LogPosition.of(0, 1), List.of(entry), List.of()),
        NOW,
        NOW);
    coordinator.sync(configuration, directory, NOW);
  }

  private List<ModelForecast> forecastsFor(String model, String adapter) {
    ModelDemand demand = new ModelDemand(SERVICE, model, adapter, 1, 1, 1_800, 1);
    coordinator.acceptDemand("n1", 1, List.of(demand), List.of(), NOW);
    coordinator.forecastWhileBlocked(configuration, BLOCKED, NOW);
    return coordinator.forecasts();
  }

  @Test
  void adapterThatNoEngineHoldsIsForecastWhileOrdersAreBlocked() {
    assertThat(forecastsFor("m0", "a2"))
        .containsExactly(new ModelForecast(SERVICE, "m0", "a2", BLOCKED.toMillis()));
  }

  @Test
  void whatOneEngineHoldsIsNotForecast() {
    assertThat(forecastsFor("m0", "a1")).isEmpty();
    assertThat(forecastsFor("m0", "")).isEmpty();
  }

  @Test
  void modelThatNoEngineHoldsIsForecastForItsAdaptersToo() {
    assertThat(forecastsFor("m1", "a1"))
        .containsExactly(new ModelForecast(SERVICE, "m1", "a1", BLOCKED.toMillis()));
  }
}
