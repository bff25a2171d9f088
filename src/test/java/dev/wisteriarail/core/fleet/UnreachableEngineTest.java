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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that the coordinator does not wait for an engine that nobody can reach. */
class UnreachableEngineTest {

  private static final String SERVICE = "engines";
  private static final Duration STEP = Duration.ofMillis(50);

  /** Time limit for an order to the other engine, far below a load from the store. */
  private static final Duration LIMIT = Duration.ofSeconds(3);

  private final Coordinator coordinator = Coordinator.create();
  private final GatewayConfiguration configuration = configuration();
  private final List<NumberedOrder> orders = new ArrayList<>();
  private Instant now = Instant.EPOCH.plusSeconds(100);
  private Optional<String> unreachable = Optional.empty();

  private static GatewayConfiguration configuration() {
    HostedModel model =
        new HostedModel(
            "m0", 60, Duration.ofSeconds(60), Duration.ofSeconds(60), Duration.ofSeconds(60), 0, 0);
    EngineSpec engine = new EngineSpec(8, 100_000, 130, 4, 5, List.of(model));
    return GatewayConfiguration.withoutTenants(
        1,
        List.of(),
        Map.of(SERVICE, new ServicePool(SERVICE, 100, Optional.of(engine))),
        CallerBounds.DEFAULT);
  }

  private static RunnerEntry engine(String id) {
    return new RunnerEntry(
        id, SERVICE, "10.0.1.1", 80, id, 6, false, 1, 0, List.of(), Set.of(), Set.of());
  }

  private static RunnerReport idleReport(String id) {
    return new RunnerReport(id, 1, 0, false, List.of(), Set.of(), Set.of(), Set.of(), 0, 0, 0);
  }

  private void addEngines() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(
        new DirectoryChange(
            true,
            LogPosition.of(0, 0),
            LogPosition.of(0, 1),
            List.of(engine("e1"), engine("e2")),
            List.of()),
        now,
        now);
    coordinator.sync(configuration, directory, now);
  }

  /** Passes time until the given number of orders was sent; all other engines report. */
  private void passUntilOrders(int count) {
    Instant until = now.plus(LIMIT);
    while (orders.size() < count && now.isBefore(until)) {
      now = now.plus(STEP);
      for (String runner : coordinator.pollReportRequests(id -> true, now)) {
        if (!unreachable.equals(Optional.of(runner))) {
          coordinator.acceptReport(idleReport(runner), now, configuration, now);
        }
      }
      ModelDemand demand = new ModelDemand(SERVICE, "m0", "", 1, 1, 1_800, 1);
      coordinator.acceptDemand("n1", 1, List.of(demand), List.of(), now);
      orders.addAll(coordinator.decide(configuration, id -> true, now));
    }
  }

  static Stream<Optional<FleetOrderOutcome>> outcomes() {
    return Stream.of(
        Optional.of(FleetOrderOutcome.UNREACHABLE),
        Optional.of(FleetOrderOutcome.UNKNOWN),
        Optional.empty());
  }

  /** The other engine is ordered, even if the call of the first order does not end. */
  @ParameterizedTest
  @MethodSource("outcomes")
  void otherEngineIsOrdered(Optional<FleetOrderOutcome> result) {
    addEngines();
    passUntilOrders(1);
    assertThat(orders).hasSize(1);
    NumberedOrder first = orders.getFirst();
    unreachable = Optional.of(first.runner());
    result.ifPresent(
        outcome -> coordinator.acceptOutcome(first.runner(), first.number(), outcome, now));
    passUntilOrders(2);
    assertThat(orders).hasSize(2);
    assertThat(orders.get(1).runner()).isNotEqualTo(first.runner());
    assertThat(orders.get(1).order().model()).isEqualTo("m0");
  }
}
