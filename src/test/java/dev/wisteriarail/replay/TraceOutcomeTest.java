package dev.wisteriarail.replay;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.answers.AnswerSet;
import dev.wisteriarail.answers.AnswersReader;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.placement.PlacementPolicy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays the traces in examples and checks the limits in the outcome files next to them. */
class TraceOutcomeTest {

  @ParameterizedTest
  @CsvSource({
    "cwmtawe,day",
    "cwmtawe,flood",
    "cwmtawe,log-outage",
    "cwmtawe,runners-lost",
    "lonchera,weekly-peak",
    "lonchera,bursts",
    "lonchera,slow-store"
  })
  void traceMeetsItsStatedOutcome(String deployment, String scenario) throws Exception {
    check(deployment, scenario);
  }

  private static void check(String deployment, String scenario) throws Exception {
    Path folder = Path.of("examples", deployment);
    Path trace = folder.resolve("traces").resolve(scenario + ".jsonl");
    AnswerSet answers = AnswersReader.read(List.of(folder));
    Configuration configuration = answers.configuration();
    ReplayOptions options =
        ReplayOptions.of("default", arrivals -> PlacementPolicy.arrivalDriven())
            .withFaults(faults(Path.of(trace + ".faults"), configuration));
    ReplayResult result =
        Replay.run(answers.sections(), TraceReader.readTrace(trace, configuration), options)
            .result();
    assertThat(TraceOutcome.read(Path.of(trace + ".outcome")).violations(result)).isEmpty();
    assertThat(result.served()).isGreaterThan(0);
  }

  private static List<FaultLine> faults(Path file, Configuration configuration) throws Exception {
    return Files.exists(file) ? TraceReader.readFaults(file, configuration) : List.of();
  }
}
