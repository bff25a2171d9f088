package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against assigning adapter slots that are still occupied, for example by an adapter that is
 * being loaded or whose unload waits for requests: an engine then got more adapters than it has
 * slots.
 */
class EngineOccupancyTest {

  private static final FleetOrder LOAD = new FleetOrder.LoadAdapter("m", "a2");
  private static final FleetOrder UNLOAD = new FleetOrder.UnloadAdapter("m", "a1");
  private static final Instant START = Instant.EPOCH.plusSeconds(10);

  private final EngineState engine = reportedEngine();

  private static EngineState reportedEngine() {
    EngineState engine = EngineState.of(RunnerDirectoryTest.entry("r", false, 1), Instant.EPOCH);
    engine.acceptReport(report(4, Set.of(), "a1"), START, START);
    return engine;
  }

  private static RunnerReport report(long orders, Set<String> incoming, String... adapters) {
    return new RunnerReport(
        "r",
        1,
        orders,
        false,
        List.of(new LoadedModel("m", List.of(adapters))),
        incoming,
        Set.of(),
        Set.of(),
        0,
        0,
        0);
  }

  private void order(FleetOrder order, FleetOrderOutcome outcome) {
    engine.beginOrder(1, order, Duration.ofMillis(12), START);
    engine.acceptOutcome(1, outcome, START.plusMillis(5));
  }

  private void accept(long requestedMillis, RunnerReport report) {
    Instant requestedAt = START.plusMillis(requestedMillis);
    engine.acceptReport(report, requestedAt, requestedAt);
  }

  private Set<String> occupiedSlots() {
    return engine.occupancy().get("m");
  }

  @ParameterizedTest
  @CsvSource({"100, m/a2", "600, m/a2", "100, ''"})
  void loadingAdapterKeepsItsSlotWhateverReportsList(long requestedMillis, String incoming) {
    order(LOAD, FleetOrderOutcome.ACCEPTED);
    accept(requestedMillis, report(5, incoming.isEmpty() ? Set.of() : Set.of(incoming), "a1"));
    assertThat(occupiedSlots()).containsExactly("a1", "a2");
    assertThat(engine.modelsIncludingIncoming().get("m")).containsExactly("a1", "a2");
    accept(1_200, report(5, Set.of(), "a1", "a2"));
    assertThat(engine.models().get("m")).containsExactly("a1", "a2");
  }

  @Test
  void adapterThatWasNotLoadedFreesItsSlotOnLaterReport() {
    order(LOAD, FleetOrderOutcome.ACCEPTED);
    accept(1_200, report(5, Set.of(), "a1"));
    assertThat(occupiedSlots()).containsExactly("a1");
  }

  @Test
  void adapterInUseKeepsItsSlotAfterItsUnloadIsAccepted() {
    order(UNLOAD, FleetOrderOutcome.ACCEPTED);
    assertThat(engine.models().get("m")).isEmpty();
    accept(1_200, report(5, Set.of(), "a1"));
    assertThat(occupiedSlots()).containsExactly("a1");
    assertThat(engine.models().get("m")).isEmpty();
    accept(2_400, report(5, Set.of()));
    assertThat(occupiedSlots()).isEmpty();
  }

  @Test
  void unusedAdapterFreesItsSlotImmediately() {
    order(UNLOAD, FleetOrderOutcome.HOLDS);
    assertThat(occupiedSlots()).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(
      value = FleetOrderOutcome.class,
      names = {"CONFLICT", "FENCED", "REFUSED", "UNREACHABLE", "UNKNOWN"})
  void refusedUnloadKeepsTheSlot(FleetOrderOutcome outcome) {
    order(UNLOAD, outcome);
    assertThat(occupiedSlots()).containsExactly("a1");
  }

  @ParameterizedTest
  @EnumSource(
      value = FleetOrderOutcome.class,
      names = {"CONFLICT", "FENCED", "REFUSED", "UNREACHABLE"})
  void refusedLoadOccupiesNoSlot(FleetOrderOutcome outcome) {
    order(LOAD, outcome);
    assertThat(occupiedSlots()).containsExactly("a1");
  }

  /** The report counts the order, but was created before the adapter became visible. */
  @Test
  void unansweredLoadKeepsItsSlotUntilLaterReport() {
    order(LOAD, FleetOrderOutcome.UNKNOWN);
    accept(100, report(5, Set.of(), "a1"));
    assertThat(engine.openOrder()).isEmpty();
    assertThat(occupiedSlots()).containsExactly("a1", "a2");
    accept(1_200, report(5, Set.of(), "a1"));
    assertThat(occupiedSlots()).containsExactly("a1");
  }

  @Test
  void unansweredUnloadKeepsTheSlotWhileTheAdapterIsListed() {
    order(UNLOAD, FleetOrderOutcome.UNKNOWN);
    accept(100, report(5, Set.of(), "a1"));
    assertThat(engine.openOrder()).isEmpty();
    assertThat(occupiedSlots()).containsExactly("a1");
    assertThat(engine.models().get("m")).isEmpty();
  }

  @Test
  void newHolderCountsAdaptersBeingLoaded() {
    EngineState inherited =
        EngineState.withoutRecentOrders(RunnerDirectoryTest.entry("r", false, 1), START);
    inherited.acceptReport(report(7, Set.of("m/a2"), "a1"), START, START);
    assertThat(inherited.isFree(START)).isTrue();
    assertThat(inherited.occupancy().get("m")).containsExactly("a1", "a2");
  }

  @Test
  void onlyAnAdapterThatOneReportShowedIsUnloaded() {
    order(LOAD, FleetOrderOutcome.ACCEPTED);
    Instant later = START.plusSeconds(1);
    assertThat(engine.idleAdapters(later)).containsExactly("m/a1");
    accept(1_200, report(5, Set.of(), "a1", "a2"));
    assertThat(engine.idleAdapters(later)).containsExactly("m/a1", "m/a2");
  }
}
