package dev.wisteriarail.core.forward;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.ModelForecast;
import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerView;
import dev.wisteriarail.core.id.LogPosition;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the state that a node keeps of runners that join and leave. */
final class RunnerStateTableTest {

  private static final Instant NOW = Instant.EPOCH;

  private final RunnerDirectory directory = RunnerDirectory.create();
  private final RunnerStateTable runnerStates = RunnerStateTable.create(directory);

  private void setRunners(long offset, RunnerEntry... runners) {
    directory.accept(
        new DirectoryChange(
            true, LogPosition.of(0, 0), LogPosition.of(0, offset), List.of(runners), List.of()),
        NOW,
        NOW);
  }

  private static RunnerEntry runner(String id) {
    return new RunnerEntry(
        id, "engines", "10.1.0.1", 80, "a", 6, false, 1, 0, List.of(), Set.of(), Set.of());
  }

  @Test
  void healthOfRunnerThatIsGoneIsForgottenAlsoAfterRequestsLookedForRunners() {
    setRunners(1, runner("r1"), runner("r2"));
    final RunnerHealth before = runnerStates.health("r1");
    assertThat(runnerStates.usable("engines")).hasSize(2);
    setRunners(2, runner("r2"));
    assertThat(runnerStates.usable("engines")).hasSize(1);
    runnerStates.advance(Instant.EPOCH);
    setRunners(3, runner("r1"), runner("r2"));
    assertThat(runnerStates.health("r1")).isNotSameInstanceAs(before);
  }

  @Test
  void forecastOfAdapterIsThatOfTheLaterOfItAndItsModel() {
    setRunners(1, runner("r1"));
    runnerStates.accept(
        List.of(),
        List.of(
            new ModelForecast("engines", "m0", "", 500),
            new ModelForecast("engines", "m0", "a1", 3_000),
            new ModelForecast("engines", "m0", "a2", ModelForecast.UNPLANNED)),
        NOW);
    assertThat(runnerStates.forecast("engines", "m0", "a1", NOW)).hasValue(Duration.ofSeconds(3));
    assertThat(runnerStates.forecast("engines", "m0", "a2", NOW)).hasValue(Duration.ofMillis(500));
    assertThat(runnerStates.forecast("engines", "m0", "", NOW)).hasValue(Duration.ofMillis(500));
    assertThat(runnerStates.forecast("engines", "m1", "a1", NOW)).isEmpty();
  }

  @Test
  void healthOfRunnerThatIsGoneIsKeptWhileRequestsOfThisNodeRunThere() {
    setRunners(1, runner("r1"));
    runnerStates.requestSent("r1", "", "", 10);
    final RunnerHealth before = runnerStates.health("r1");
    setRunners(2);
    runnerStates.advance(Instant.EPOCH);
    assertThat(runnerStates.health("r1")).isSameInstanceAs(before);
    runnerStates.requestEnded("r1", "", "", 10);
    runnerStates.advance(Instant.EPOCH);
    assertThat(runnerStates.health("r1")).isNotSameInstanceAs(before);
  }

  private static RunnerView view(long revision, int running) {
    return new RunnerView("r1", 1, revision, List.of(), "", 0, running, 0);
  }

  @Test
  void viewIncludesOwnRequestsOfTheReportThatPrecedesIt() {
    setRunners(1, runner("r1"));
    final RunnerLoad load = runnerStates.load(runner("r1"), NOW);
    runnerStates.requestSent("r1", "", "", 10);
    runnerStates.collectUses(NOW);
    runnerStates.requestSent("r1", "", "", 10);
    runnerStates.collectUses(NOW.plusMillis(400));
    runnerStates.accept(List.of(view(1, 4)), List.of(), NOW.plusMillis(420));
    assertThat(load.othersRunning()).isEqualTo(3);
    runnerStates.accept(List.of(view(2, 4)), List.of(), NOW.plusMillis(850));
    assertThat(load.othersRunning()).isEqualTo(2);
    runnerStates.accept(List.of(view(1, 9)), List.of(), NOW.plusMillis(900));
    assertThat(load.othersRunning()).isEqualTo(2);
  }

  @Test
  void rejectionsCloseRunnerForLongerEachTimeUntilViewOrSuccess() {
    final RunnerLoad load = runnerStates.load(runner("r1"), NOW);
    for (int millis : List.of(100, 200, 400, 800, 800)) {
      runnerStates.recordRejection(runner("r1"), NOW);
      assertThat(load.isFull(NOW.plusMillis(millis - 1))).isTrue();
      assertThat(load.isFull(NOW.plusMillis(millis))).isFalse();
    }
    runnerStates.accept(List.of(view(1, 4)), List.of(), NOW);
    assertThat(load.isFull(NOW)).isFalse();
    runnerStates.recordAcceptance(runner("r1"));
    runnerStates.recordRejection(runner("r1"), NOW);
    assertThat(load.isFull(NOW.plusMillis(100))).isFalse();
  }
}
