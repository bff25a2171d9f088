package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.FleetPosition;
import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerView;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.LoadBalance;
import dev.wisteriarail.core.forward.RunnerScoring;
import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that runners are selected as before where the rule for large fleets is off. */
final class RunnerPickerTest {

  private static final Instant NOW = Instant.EPOCH;

  @ParameterizedTest
  @CsvSource({"DEFAULT, false", "LEAST, false", "LEAST, true"})
  void oldRuleSelectsByScoreAlone(LoadBalance balance, boolean large) {
    GatewayConfiguration configuration = CoreHarness.configuration(1);
    Random random = new Random(3);
    for (int round = 0; round < 200; round++) {
      RunnerDirectory directory = RunnerDirectory.create();
      RunnerStateTable states = RunnerStateTable.create(directory);
      List<RunnerEntry> entries = new ArrayList<>();
      List<RunnerView> views = new ArrayList<>();
      List<RunnerScoring.Candidate> expected = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        String domain = random.nextBoolean() ? "a" : "b";
        int running = random.nextInt(10);
        String id = "e" + i;
        entries.add(
            new RunnerEntry(
                id,
                CoreHarness.ENGINES,
                "h",
                80,
                domain,
                8,
                false,
                1,
                0,
                List.of(),
                Set.of(),
                Set.of()));
        views.add(new RunnerView(id, 1, i + 1, List.of(), "", 0, running, 100));
        expected.add(new RunnerScoring.Candidate(id, running, 8, domain.equals("a"), false, 0));
      }
      LogPosition end = LogPosition.of(0, 1);
      directory.accept(
          new DirectoryChange(true, LogPosition.of(0, 0), end, entries, List.of()), NOW, NOW);
      states.accept(views, List.of(), NOW);
      // The old rule ignores what the new one learns from rejections.
      states.recordRejection(entries.get(random.nextInt(12)), NOW);
      ForwardRequest request =
          new ForwardRequest(
              round,
              "r",
              "h",
              "/",
              Optional.empty(),
              Optional.empty(),
              Optional.empty(),
              true,
              100,
              100,
              List.of(),
              random.nextLong(),
              0,
              Optional.empty());
      PendingForward forward =
          PendingForward.of(
              request,
              configuration.routes().getFirst(),
              CoreHarness.ENGINES,
              Optional.empty(),
              NOW);
      FleetPosition place = new FleetPosition(large, 3, 66);
      RunnerPicker picker = RunnerPicker.create("a", balance, () -> place, states);
      assertThat(
              picker
                  .choose(forward, configuration, id -> false, slots -> slots, NOW)
                  .map(RunnerEntry::id))
          .isEqualTo(
              RunnerScoring.best(expected, request.fingerprint() + request.exchange())
                  .map(RunnerScoring.Candidate::runner));
    }
  }
}
