package dev.wisteriarail.core.forward;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.route.CallerBounds;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.RouteKind;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.route.ServiceShare;
import dev.wisteriarail.core.tenant.Allowance;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests where urgency is compared, how many requests a rank may send, and the slot forecast. */
final class UrgencyRulesTest {

  private static final Instant START = Instant.EPOCH;

  private static UrgencyPolicy policy(String routeRanks, String priorities, boolean setting) {
    List<RouteSpec> routes =
        Arrays.stream(routeRanks.split(" ")).map(Integer::parseInt).map(r -> route(r)).toList();
    List<TenantSpec> tenants =
        Arrays.stream(priorities.split(" "))
            .filter(text -> !text.isEmpty())
            .map(Integer::parseInt)
            .map(rank -> new TenantSpec("t" + rank, List.of(), rank, Allowance.UNLIMITED))
            .toList();
    GatewayConfiguration configuration =
        tenants.isEmpty()
            ? GatewayConfiguration.withoutTenants(1, routes, Map.of(), CallerBounds.DEFAULT)
            : GatewayConfiguration.withTenants(1, routes, Map.of(), CallerBounds.DEFAULT, tenants);
    return UrgencyPolicy.of(configuration, setting);
  }

  private static RouteSpec route(int rank) {
    return new RouteSpec(
        "r" + rank,
        "h",
        "/" + rank,
        RouteKind.STREAMING,
        Duration.ofSeconds(12),
        Duration.ofMillis(400),
        rank,
        List.of(new ServiceShare("s", 1)),
        1,
        false,
        false,
        Duration.ofMillis(100),
        false);
  }

  /** Guards against changed behaviour in deployments without tenants or with one rank. */
  @ParameterizedTest
  @CsvSource({
    "0 1 2, '', false, false",
    "1, 1, false, false",
    "0 2, 1, false, true",
    "1, 0 2, false, true",
    "1, '', true, true",
  })
  void appliesOnlyWithTenantsAndTwoRanksOrByTheSetting(
      String routeRanks, String priorities, boolean setting, boolean expected) {
    assertThat(policy(routeRanks, priorities, setting).appliesTo("s")).isEqualTo(expected);
  }

  /** Guards against middle ranks that take the places of the most urgent one at runners. */
  @ParameterizedTest
  @CsvSource({
    "0, 16, false, 20",
    "1, 16, false, 18",
    "2, 16, false, 16",
    "2, 16, true, 15",
    "0, 2, false, 3",
    "2, 1, true, 1"
  })
  void placesAboveTheSlotsGrowWithUrgency(int rank, int slots, boolean pressure, int expected) {
    assertThat(policy("0 1 2", "", true).limit("s", rank, slots, pressure)).isEqualTo(expected);
  }

  /** Guards against a reserve that stays after the urgent requests are gone. */
  @Test
  void pressureEndsAfterOneSecondAndActsOnLessUrgentRanksOnly() {
    UrgentPressure pressure = UrgentPressure.create();
    pressure.record("s/m", 1, START);
    assertThat(pressure.isAbove("s/m", 2, START.plusMillis(1_000))).isTrue();
    assertThat(pressure.isAbove("s/m", 1, START)).isFalse();
    assertThat(pressure.isAbove("s/m", 2, START.plusMillis(1_001))).isFalse();
  }

  /** Guards against refusals without data, and against times that are not those of the queue. */
  @ParameterizedTest
  @CsvSource({"4, 4000, -1", "5, 1900, -1", "20, 2000, 2000", "400, 4000, 200"})
  void forecastNeedsDataAndTellsTheTime(int slots, int millis, long expected) {
    SlotForecast forecast = SlotForecast.create();
    forecast.recordWaiting(true, START);
    for (int i = 1; i <= slots; i++) {
      forecast.recordSlot(START.plusMillis((long) millis * i / slots));
    }
    Optional<SlotForecast.Wait> wait = forecast.estimate(19, START.plusMillis(millis));
    long found = wait.map(each -> each.expected().toMillis()).orElse(-1L);
    assertThat((double) found).isWithin(0.02 * Math.abs(expected)).of((double) expected);
    if (wait.isEmpty()) {
      assertThat(WaitRule.decide(Duration.ofSeconds(2), Optional.empty(), wait, true))
          .isInstanceOf(WaitRule.Decision.Wait.class);
    }
  }
}
