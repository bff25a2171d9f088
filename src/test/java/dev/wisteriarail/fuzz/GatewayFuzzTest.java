package dev.wisteriarail.fuzz;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.wisteriarail.KnownRedCondition;
import dev.wisteriarail.fuzz.gateway.GatewayDefect;
import dev.wisteriarail.fuzz.gateway.GatewayFuzz;
import dev.wisteriarail.fuzz.oracle.Violation;
import java.io.IOException;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Fuzzes gateway nodes in virtual time, and shows that each check detects its defect. Each run must
 * violate exactly the checks that KNOWN-RED.txt lists for it.
 */
@ExtendWith(KnownRedCondition.class)
final class GatewayFuzzTest {

  private static final long SEED = 3;
  private static final Set<Long> SEEDS = Set.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void promisesHoldUnderFaults(long seed) throws IOException {
    GatewayFuzz.Result result = GatewayFuzz.execute(seed, true, GatewayDefect.NONE);
    Set<String> violated =
        result.violations().stream().map(Violation::check).collect(Collectors.toSet());
    assertWithMessage(result.describe()).that(violated).isEqualTo(KnownRed.gatewayChecks(seed));
  }

  @Test
  void knownRedNamesOnlyRunsOfThisTest() throws IOException {
    for (KnownRed entry : KnownRed.readGateway()) {
      System.out.println("KNOWN RED: " + entry.line());
      assertThat(entry.seed()).isIn(SEEDS);
    }
  }

  @Test
  void promisesHoldWithoutFaults() {
    GatewayFuzz.Result result = GatewayFuzz.execute(SEED, false, GatewayDefect.NONE);
    assertWithMessage(result.describe()).that(result.violations()).isEmpty();
  }

  @Test
  void equalSeedsGiveEqualRuns() {
    assertThat(GatewayFuzz.execute(SEED, true, GatewayDefect.NONE))
        .isEqualTo(GatewayFuzz.execute(SEED, true, GatewayDefect.NONE));
  }

  @ParameterizedTest
  @CsvSource({
    "at-most-once, SENDS_TWICE, true",
    "not-run, SAYS_NOT_RUN, true",
    "one-ending, DROPS_ENDINGS, true",
    "one-ending, ENDS_TWICE, true",
    "final-answer, ENDS_AT_ONCE, true",
    "denied, DENIES_ROUTES, true",
    "one-holder, SHARES_A_FENCE, false",
    "recovery, IGNORES_ERAS, true",
    "rollback, TELLS_VERSIONS_BACKWARDS, true",
    "memory, ORDERS_BEYOND_MEMORY, false",
    "memory, MISSES_TRANSIT, true",
    "retry-budget, SPENDS_ANY_BUDGET, true",
    "drain, MISSES_CHANGES, false",
    "configuration, MISSES_CHANGES, false",
    "leaving-word, IGNORES_WORDS, true",
    "pause, IGNORES_WORDS, true",
    "crashing-request, FORGETS_CRASHES, true",
    "sound-refused, ACCUSES_THE_SOUND, true",
    "recovery, REFUSES_EVERYTHING, false",
    "core-fault, FAILS_INSIDE, false",
  })
  void checkSeesItsDefect(String check, GatewayDefects defect, boolean faulty) {
    Set<String> violated =
        LongStream.rangeClosed(1, faulty ? 8 : 1)
            .mapToObj(seed -> GatewayFuzz.execute(seed, faulty, defect))
            .flatMap(result -> result.violations().stream())
            .map(Violation::check)
            .collect(Collectors.toSet());
    assertThat(violated).contains(check);
  }
}
