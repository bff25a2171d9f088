package dev.wisteriarail.core.forward;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.RunnerRun;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests pauses that runners ask for, and the parsing of their length. */
class RunnerPausesTest {

  private static final Instant NOW = Instant.EPOCH;
  private static final RunnerRun RUNNER = new RunnerRun("r", 1);

  @ParameterizedTest
  @CsvSource({"0, 0", "2, 2000", "1.5, 1500", "0.25, 250", "3600, 3600000"})
  void secondsAreParsed(String text, long millis) {
    assertThat(RetryAfterParser.parse(text).orElseThrow()).isEqualTo(Duration.ofMillis(millis));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "-1",
        "soon",
        "NaN",
        "Infinity",
        "1e9",
        "3601",
        "99999999999999999999",
        "1 2",
        "Fri, 04 Dec 2026 09:00:00 GMT"
      })
  void invalidTimesAreIgnored(String text) {
    assertThat(RetryAfterParser.parse(text).isPresent()).isFalse();
  }

  @Test
  void pauseEndsWithItsTimeAndShorterOnesDoNotEndItSooner() {
    RunnerPauses pauses = RunnerPauses.create();
    pauses.add(RUNNER, Duration.ofSeconds(3), NOW);
    pauses.add(RUNNER, Duration.ofSeconds(1), NOW.plusSeconds(1));
    pauses.advance(NOW.plusSeconds(2));
    assertThat(pauses.remaining(RUNNER, NOW.plusSeconds(2))).isEqualTo(Duration.ofSeconds(1));
    assertThat(pauses.remaining(RUNNER, NOW.plusSeconds(3))).isEqualTo(Duration.ZERO);
  }

  @Test
  void pauseBindsOnlyTheRunThatAskedForIt() {
    RunnerPauses pauses = RunnerPauses.create();
    pauses.add(RUNNER, Duration.ofSeconds(3), NOW);
    assertThat(pauses.remaining(new RunnerRun("r", 2), NOW)).isEqualTo(Duration.ZERO);
  }
}
