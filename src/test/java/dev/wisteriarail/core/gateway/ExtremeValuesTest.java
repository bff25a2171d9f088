package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.LoadedModel;
import dev.wisteriarail.core.fleet.ModelForecast;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.fleet.RunnerView;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.PromptPart;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.route.CallerBounds;
import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.HostedModel;
import dev.wisteriarail.core.route.RouteKind;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.route.ServicePool;
import dev.wisteriarail.core.route.ServiceShare;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that requests and configurations with the lowest and highest values that the adapters pass
 * on make no step of the core fail, so that other requests are served beside them.
 */
class ExtremeValuesTest {

  private static final Duration LONGEST = Duration.ofDays(1);
  private static final double LARGEST_AMOUNT = 1e12;

  private final CoreHarness node = CoreHarness.ready();
  private long exchanges = 1_000;

  private static RouteSpec route(RouteKind kind, Duration time, int number) {
    return new RouteSpec(
        kind.name(),
        "host",
        "/" + kind.name() + "/",
        kind,
        time,
        time,
        number,
        List.of(new ServiceShare(CoreHarness.ENGINES, number)),
        Math.max(1, number),
        true,
        true,
        time,
        false);
  }

  private static GatewayConfiguration configuration(Duration time, int number, double amount) {
    HostedModel model = new HostedModel("m0", amount, time, time, time, number, amount);
    List<RouteSpec> routes = new ArrayList<>(CoreHarness.configuration(1).routes());
    for (RouteKind kind : RouteKind.values()) {
      routes.add(route(kind, time, number));
    }
    ServicePool engines =
        new ServicePool(
            CoreHarness.ENGINES,
            number,
            Optional.of(
                new EngineSpec(
                    Math.max(1, number), number, amount, number, amount, List.of(model))));
    return GatewayConfiguration.withoutTenants(
        Long.MAX_VALUE,
        routes,
        Map.of(
            CoreHarness.ENGINES,
            engines,
            CoreHarness.PLAIN,
            new ServicePool(CoreHarness.PLAIN, 100, Optional.empty())),
        CallerBounds.DEFAULT);
  }

  private long arrive(RouteKind kind, Optional<Duration> timeout, String model, int tokens) {
    long exchange = ++exchanges;
    node.handle(
        new GatewayEvent.RequestArrived(
            new ForwardRequest(
                exchange,
                "x" + exchange,
                "host",
                "/" + kind.name() + "/1",
                timeout,
                Optional.of(model).filter(name -> !name.isEmpty()),
                Optional.empty(),
                true,
                tokens,
                tokens,
                List.of(new PromptPart("a", tokens), new PromptPart("b", tokens)),
                exchange,
                0,
                Optional.empty())));
    return exchange;
  }

  private List<Long> arriveAll() {
    List<Long> arrived = new ArrayList<>();
    for (RouteKind kind : RouteKind.values()) {
      for (Duration timeout : List.of(Duration.ZERO, Duration.ofMillis(1), LONGEST)) {
        for (int tokens : new int[] {0, Integer.MAX_VALUE}) {
          for (String model : List.of("", "m0", "unknown")) {
            arrived.add(arrive(kind, Optional.of(timeout), model, tokens));
          }
        }
      }
      arrived.add(arrive(kind, Optional.empty(), "m0", 1));
    }
    return arrived;
  }

  private void receiveExtremeForecasts() {
    List<ModelForecast> forecasts = new ArrayList<>();
    forecasts.add(new ModelForecast(CoreHarness.ENGINES, "m0", "", Long.MIN_VALUE));
    forecasts.add(new ModelForecast(CoreHarness.ENGINES, "unknown", "", Long.MAX_VALUE));
    RunnerView view =
        new RunnerView(
            "e1",
            1,
            1,
            List.of(new LoadedModel("m0", List.of())),
            "",
            Long.MAX_VALUE,
            Integer.MAX_VALUE,
            Long.MAX_VALUE);
    node.handle(
        new GatewayEvent.PeerMessageReceived(
            NodeId.of("n2"),
            Incarnation.of(1),
            FleetMessage.FleetTold.of(9, List.of(view), forecasts)));
  }

  private void assertOthersAreServed() {
    node.take(GatewayEffect.class);
    long exchange = node.arrive("lookup");
    assertThat(node.take(GatewayEffect.SendAttempt.class).stream().map(send -> send.exchange()))
        .contains(exchange);
    node.updateAttempt(exchange, 1, new AttemptResult.Finished(200));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void everyStepIsMade(boolean highest) {
    Duration time = highest ? LONGEST : Duration.ZERO;
    int number = highest ? Integer.MAX_VALUE : 0;
    node.handle(
        new GatewayEvent.StoreReadCompleted(
            new StoreRead.NewestConfiguration(),
            new StoreAnswer.ConfigurationRead(
                Optional.of(configuration(time, number, highest ? LARGEST_AMOUNT : 0)),
                LogPosition.of(0, 2))));
    RunnerEntry entry =
        new RunnerEntry(
            "e3",
            CoreHarness.ENGINES,
            "10.0.1.1",
            65_535,
            "a",
            number,
            false,
            4_102_444_800_000L,
            Long.MAX_VALUE,
            List.of(new LoadedModel("m0", List.of())),
            Set.of(),
            Set.of());
    node.directory(
        6,
        entry,
        CoreHarness.runner("p1", CoreHarness.PLAIN, false),
        CoreHarness.runner("p2", CoreHarness.PLAIN, false),
        CoreHarness.runner("e1", CoreHarness.ENGINES, false));
    final List<Long> arrived = arriveAll();
    receiveExtremeForecasts();
    arriveAll();
    assertOthersAreServed();
    node.notifyFrom(entry, new RunnerNotification.RetryAfter("99999999999999999999"));
    node.notifyFrom(entry, new RunnerNotification.RetryAfter("0"));
    node.pass(Duration.ofSeconds(3));
    assertOthersAreServed();
    for (long exchange : arrived) {
      node.updateAttempt(exchange, 1, new AttemptResult.Broken("reset", false, "", true));
    }
    node.pass(Duration.ofSeconds(3));
    node.handle(new GatewayEvent.DrainRequested());
    arriveAll();
    node.pass(Duration.ofSeconds(10));
  }
}
