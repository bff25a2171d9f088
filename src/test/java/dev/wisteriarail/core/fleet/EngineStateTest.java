package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests orders to one engine whose answers are lost, late or refused. */
class EngineStateTest {

  private static final Instant START = Instant.EPOCH;
  private static final FleetOrder LOAD = new FleetOrder.LoadModel("m", LoadSource.STORE);

  private final EngineState engine =
      EngineState.of(RunnerDirectoryTest.entry("r", false, 1), START);

  private static RunnerReport report(long orders, boolean busy, String... models) {
    return new RunnerReport(
        "r",
        1,
        orders,
        busy,
        Arrays.stream(models).map(name -> new LoadedModel(name, List.of())).toList(),
        Set.of(),
        Set.of(),
        Set.of(),
        0,
        0,
        0);
  }

  private Instant acceptSettledReport() {
    Instant later = START.plusSeconds(1);
    engine.acceptReport(report(4, false), later, later);
    return later;
  }

  @Test
  void noOrderBeforeTheCountOfOrdersIsKnown() {
    assertThat(engine.isFree(START)).isFalse();
    engine.acceptReport(report(4, false), START, START);
    assertThat(engine.isFree(START)).isFalse();
    Instant now = acceptSettledReport();
    assertThat(engine.isFree(now)).isTrue();
    assertThat(engine.orderCount()).isEqualTo(4);
  }

  @Test
  void orderWithoutAnswerIsSettledByOneReportAskedLaterOnly() {
    Instant now = acceptSettledReport();
    engine.beginOrder(1, LOAD, Duration.ofSeconds(6), now);
    engine.acceptOutcome(1, FleetOrderOutcome.UNKNOWN, now.plusMillis(500));
    engine.acceptReport(report(4, false), now.plusMillis(600), now.plusMillis(610));
    assertThat(engine.isFree(now.plusMillis(610))).isFalse();
    engine.acceptReport(report(4, false), now.plusSeconds(2), now.plusSeconds(2));
    assertThat(engine.isFree(now.plusSeconds(2))).isTrue();
    assertThat(engine.orderCount()).isEqualTo(4);
  }

  @Test
  void orderWithoutAnswerThatWasAcceptedIsAwaited() {
    Instant now = acceptSettledReport();
    engine.beginOrder(1, LOAD, Duration.ofSeconds(6), now);
    engine.acceptOutcome(1, FleetOrderOutcome.UNKNOWN, now.plusMillis(500));
    engine.acceptReport(report(5, true), now.plusSeconds(2), now.plusSeconds(2));
    assertThat(engine.isFree(now.plusSeconds(2))).isFalse();
    engine.acceptReport(report(5, false, "m"), now.plusSeconds(7), now.plusSeconds(7));
    assertThat(engine.models()).containsKey("m");
    assertThat(engine.isFree(now.plusSeconds(7))).isTrue();
    assertThat(engine.orderCount()).isEqualTo(5);
  }

  @Test
  void loadFromDiskServesWhenItsTimeHasComeAndOneReportCorrectsIt() {
    Instant now = acceptSettledReport();
    engine.beginOrder(
        1, new FleetOrder.LoadModel("m", LoadSource.DISK), Duration.ofMillis(840), now);
    engine.acceptOutcome(1, FleetOrderOutcome.ACCEPTED, now);
    assertThat(engine.advance(now.plusMillis(800))).isFalse();
    assertThat(engine.advance(now.plusMillis(840))).isTrue();
    assertThat(engine.models()).containsKey("m");
    Instant late = now.plusSeconds(3);
    engine.acceptReport(report(5, false), late, late);
    assertThat(engine.models()).doesNotContainKey("m");
  }

  @Test
  void refusalRightAfterAnUnloadingIsTriedAgainSoon() {
    Instant now = acceptSettledReport();
    engine.beginOrder(1, new FleetOrder.UnloadModel("x"), Duration.ofMillis(60), now);
    engine.markIdleUnload(true);
    engine.acceptOutcome(1, FleetOrderOutcome.ACCEPTED, now);
    Instant done = now.plusMillis(60);
    assertThat(engine.advance(done)).isTrue();
    engine.beginOrder(2, LOAD, Duration.ofSeconds(6), done);
    engine.acceptOutcome(2, FleetOrderOutcome.CONFLICT, done.plusMillis(2));
    assertThat(engine.isFree(done.plusMillis(2))).isFalse();
    assertThat(engine.isFree(done.plusMillis(50))).isTrue();
    assertThat(engine.orderCount()).isEqualTo(5);
  }

  @ParameterizedTest
  @EnumSource(
      value = FleetOrderOutcome.class,
      names = {"CONFLICT", "REFUSED", "UNREACHABLE"})
  void unexpectedOutcomeInvalidatesTheOrderCountUntilNextReport(FleetOrderOutcome outcome) {
    Instant now = acceptSettledReport();
    engine.beginOrder(1, LOAD, Duration.ofSeconds(6), now);
    engine.acceptOutcome(1, outcome, now);
    assertThat(engine.isFree(now.plusMillis(100))).isFalse();
    Instant later = now.plusSeconds(1);
    engine.acceptReport(report(9, false), later, later);
    assertThat(engine.isFree(later)).isTrue();
    assertThat(engine.orderCount()).isEqualTo(9);
  }

  @Test
  void refusedUnloadingLeavesTheEngineAsItWas() {
    Instant now = START.plusSeconds(1);
    RunnerReport held =
        new RunnerReport(
            "r",
            1,
            4,
            false,
            List.of(new LoadedModel("m", List.of("a1", "a2"))),
            Set.of(),
            Set.of(),
            Set.of(),
            0,
            0,
            0);
    engine.acceptReport(held, now, now);
    engine.beginOrder(1, new FleetOrder.UnloadAdapter("m", "a1"), Duration.ZERO, now);
    engine.acceptOutcome(1, FleetOrderOutcome.CONFLICT, now);
    assertThat(engine.models().get("m")).containsExactly("a1", "a2");
    engine.beginOrder(2, new FleetOrder.UnloadModel("m"), Duration.ZERO, now);
    engine.acceptOutcome(2, FleetOrderOutcome.CONFLICT, now);
    assertThat(engine.models().get("m")).containsExactly("a1", "a2");
  }

  /**
   * Guards against sending requests to a model that is not loaded yet: when a load was assumed
   * complete too early, requests went to it for more than a second before they were given up.
   */
  @Test
  void refusedOrderAfterAnAssumedLoadTakesItsModelBackUntilItIsDone() {
    Instant now = acceptSettledReport();
    engine.beginOrder(
        1, new FleetOrder.LoadModel("m", LoadSource.MEMORY), Duration.ofMillis(760), now);
    engine.acceptOutcome(1, FleetOrderOutcome.ACCEPTED, now);
    Instant assumed = now.plusMillis(760);
    engine.advance(assumed);
    engine.beginOrder(2, new FleetOrder.UnloadModel("x"), Duration.ofMillis(60), assumed);
    engine.acceptOutcome(2, FleetOrderOutcome.CONFLICT, assumed.plusMillis(2));
    assertThat(engine.models()).doesNotContainKey("m");
    assertThat(engine.loading().orElseThrow().body().model()).isEqualTo("m");
    engine.beginOrder(
        3, new FleetOrder.UnloadModel("x"), Duration.ofMillis(60), assumed.plusMillis(50));
    engine.acceptOutcome(3, FleetOrderOutcome.ACCEPTED, assumed.plusMillis(52));
    assertThat(engine.models()).containsKey("m");
    assertThat(engine.loading()).isEmpty();
  }

  @Test
  void assumedLoadIsAskedAboutUntilOneReportConfirmsIt() {
    Instant now = acceptSettledReport();
    engine.beginOrder(
        1, new FleetOrder.LoadModel("m", LoadSource.DISK), Duration.ofMillis(840), now);
    engine.acceptOutcome(1, FleetOrderOutcome.ACCEPTED, now);
    Instant assumed = now.plusMillis(840);
    engine.advance(assumed);
    assertThat(engine.needsReport(assumed)).isTrue();
    Instant later = assumed.plusMillis(500);
    engine.acceptReport(report(5, false, "m"), later, later);
    assertThat(engine.needsReport(later)).isFalse();
  }

  /** Host memory holds only a few models; loading another one may have evicted any of them. */
  @Test
  void hostMemoryIsAssumedToHoldOnlyTheLastLoadUntilNextReport() {
    Instant now = START.plusSeconds(1);
    RunnerReport held =
        new RunnerReport(
            "r", 1, 4, false, List.of(), Set.of(), Set.of("a", "b"), Set.of("m"), 0, 0, 0);
    engine.acceptReport(held, now, now);
    assertThat(engine.source("a")).isEqualTo(LoadSource.MEMORY);
    engine.beginOrder(
        1, new FleetOrder.LoadModel("m", LoadSource.DISK), Duration.ofMillis(840), now);
    engine.acceptOutcome(1, FleetOrderOutcome.ACCEPTED, now);
    engine.advance(now.plusMillis(840));
    assertThat(engine.source("a")).isEqualTo(LoadSource.DISK);
    assertThat(engine.source("m")).isEqualTo(LoadSource.MEMORY);
  }
}
