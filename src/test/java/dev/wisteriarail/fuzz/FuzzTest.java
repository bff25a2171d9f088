package dev.wisteriarail.fuzz;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.wisteriarail.fuzz.oracle.Violation;
import java.io.IOException;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs fixed seeds with all faults. Each run must violate exactly the checks that KNOWN-RED.txt
 * lists for it, so an entry must be removed once its fault is fixed.
 */
class FuzzTest {

  private static final int STEPS = 150;
  private static final Set<Long> SEEDS = Set.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 11L, 12L);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 11, 12})
  void promisesHoldUnderFaults(long seed) throws IOException {
    RunResult result = FuzzRun.execute(FuzzRun.plan(seed, STEPS), Defect.NONE);
    Set<String> violated =
        result.violations().stream().map(Violation::check).collect(Collectors.toSet());
    assertWithMessage("checks violated by seed %s: %s", seed, result.violations())
        .that(violated)
        .isEqualTo(KnownRed.checks(seed, STEPS));
  }

  @Test
  void knownRedNamesOnlyRunsOfThisTest() throws IOException {
    for (KnownRed entry : KnownRed.read()) {
      System.out.println("KNOWN RED: " + entry.line());
      assertThat(entry.steps()).isEqualTo(STEPS);
      assertThat(entry.seed()).isIn(SEEDS);
    }
  }
}
