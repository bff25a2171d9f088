package dev.wisteriarail.replay;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.answers.AnswerSet;
import dev.wisteriarail.answers.AnswersReader;
import dev.wisteriarail.core.placement.PlacementPolicy;
import dev.wisteriarail.report.ComparedRow;
import dev.wisteriarail.report.MarkdownTable;
import dev.wisteriarail.report.MeanRow;
import dev.wisteriarail.report.Plots;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that replays are deterministic and measure placement policies as expected. */
class ReplayTest {

  private static final long SECOND = 1_000;
  private static final long LAST_MS = 600 * SECOND;

  @TempDir private Path folder;

  @Test
  void sameTraceGivesTheSameResultAndPlots() throws Exception {
    ReplayOptions options =
        ReplayOptions.of("default", arrivals -> PlacementPolicy.arrivalDriven());
    ReplayResult.WithTimeline first = Replay.run(answers().sections(), trace(), options);
    assertThat(Replay.run(answers().sections(), trace(), options)).isEqualTo(first);

    List<MeanRow> rows = MeanRow.of(List.of(new ComparedRow("default", "", 1, first.result())));
    assertThat(MarkdownTable.of(rows)).contains("| default |");
    Path curve = folder.resolve("curve.png");
    Path timeline = folder.resolve("timeline.png");
    Plots.writeTradeOff("test", rows, curve);
    Plots.writeTimeline("test", first.samples(), timeline);
    assertThat(Files.size(curve)).isGreaterThan(1_000L);
    assertThat(Files.size(timeline)).isGreaterThan(1_000L);
  }

  @Test
  void fixedTimeoutHoldsTheAcceleratorsForItsIdleTime() throws Exception {
    ReplayResult result =
        Replay.run(
                answers().sections(),
                trace(),
                ReplayOptions.of(
                    "fixed-timeout",
                    arrivals -> PlacementPolicy.fixedTimeout(Duration.ofSeconds(60))))
            .result();
    assertThat(result.served()).isEqualTo(2);
    assertThat(result.coldStarts()).isEqualTo(2);
    assertThat(result.loads()).isEqualTo(2);
    assertThat(result.unloads()).isAtLeast(1);
    assertThat(result.idleAcceleratorHours()).isWithin(0.002).of(62.5 / 3_600);
  }

  @Test
  void clairvoyantMeetsTheSecondRequestWithReadyReplica() throws Exception {
    ReplayResult result =
        Replay.run(
                answers().sections(),
                trace(),
                ReplayOptions.of("clairvoyant", PlacementPolicy.Clairvoyant::new))
            .result();
    assertThat(result.coldStarts()).isAtMost(1);
    assertThat(result.idleAcceleratorHours()).isLessThan(30.0 / 3_600);
  }

  @ParameterizedTest
  @EnumSource(Scenario.class)
  void generatedTraceIsDecidedByItsSeedAndCanBeReadBack(Scenario scenario) throws Exception {
    GeneratedTrace trace = TraceGenerator.generate(answers().configuration(), scenario, 7, 9, 1);
    assertThat(TraceGenerator.generate(answers().configuration(), scenario, 7, 9, 1))
        .isEqualTo(trace);
    assertThat(TraceGenerator.generate(answers().configuration(), scenario, 8, 9, 1))
        .isNotEqualTo(trace);
    Path file = folder.resolve("trace");
    Path faults = folder.resolve("faults");
    trace.write(file, faults);
    assertThat(TraceReader.readTrace(file, answers().configuration())).isEqualTo(trace.lines());
    if (!trace.faults().isEmpty()) {
      assertThat(TraceReader.readFaults(faults, answers().configuration()))
          .isEqualTo(trace.faults());
    }
  }

  /** One request at the start and one after ten minutes, for a model with one accelerator. */
  private static List<TraceLine> trace() {
    return List.of(line(0), line(LAST_MS));
  }

  private static TraceLine line(long atMs) {
    return new TraceLine(atMs, "c01", "m061", null, "fault-summary", null, 100, 10);
  }

  private static AnswerSet answers() throws Exception {
    return AnswersReader.read(List.of(Path.of("examples", "cwmtawe")));
  }
}
