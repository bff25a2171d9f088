package dev.wisteriarail.core.routing;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.engine.CacheReport;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that delayed, repeated and missing reports do not corrupt the state of the runners. */
class PrefixIndexTest {

  private static final RunnerId RUNNER = RunnerId.of("r1");

  private final PrefixIndex index = new PrefixIndex();

  @ParameterizedTest
  @CsvSource({"1, 1, 1.0", "2, 1, 0.0", "0, 1, 1.0", "0, 2, 0.0"})
  void secondReportCountsOnlyWithoutGap(long sequence, long incarnation, double match) {
    index.acceptReport(report(0, 1, false, List.of(7L)));
    index.acceptReport(report(sequence, incarnation, false, List.of()));
    assertThat(index.matchedShare(RUNNER, List.of(7L))).isEqualTo(match);
  }

  @Test
  void fullReportReplacesThePrefixes() {
    index.acceptReport(report(0, 1, false, List.of(7L)));
    index.acceptReport(report(5, 1, true, List.of(8L)));
    assertThat(index.matchedShare(RUNNER, List.of(7L))).isEqualTo(0.0);
    assertThat(index.matchedShare(RUNNER, List.of(8L, 9L))).isEqualTo(0.5);
  }

  @Test
  void leavingRunnerIsNotRestoredByDelayedReport() {
    RunnerTable runners = RunnerTable.create();
    runners.acceptReport(state(1, true));
    runners.acceptReport(state(1, false));
    assertThat(runners.isUsable(RUNNER)).isFalse();
    runners.acceptReport(state(2, false));
    assertThat(runners.isUsable(RUNNER)).isTrue();
  }

  @Test
  void oldReportShowsNothingAfterPauseOfNode() {
    RunnerTable runners = RunnerTable.create();
    runners.acceptReport(state(1, false));
    runners.advance(Instant.EPOCH.plus(RunnerTable.REPORT_EXPIRY));
    assertThat(runners.isUsable(RUNNER)).isFalse();
    runners.acceptReport(state(1, false));
    assertThat(runners.isUsable(RUNNER)).isTrue();
  }

  private static EngineReport state(long incarnation, boolean leaving) {
    return new EngineReport(
        RUNNER, Incarnation.of(incarnation), FencingNumber.NONE, leaving, 0, 0, 0, List.of());
  }

  private static CacheReport report(
      long sequence, long incarnation, boolean full, List<Long> added) {
    return new CacheReport(RUNNER, Incarnation.of(incarnation), sequence, full, added, List.of());
  }
}
