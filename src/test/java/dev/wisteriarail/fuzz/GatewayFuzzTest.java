package dev.wisteriarail.fuzz;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.wisteriarail.KnownRedCondition;
import dev.wisteriarail.fuzz.gateway.GatewayDefect;
import dev.wisteriarail.fuzz.gateway.GatewayFuzz;
import dev.wisteriarail.fuzz.oracle.Violation;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Fuzzes gateway nodes in virtual time, and shows that each check detects its defect. The runs of
 * each seed must violate exactly the checks that KNOWN-RED.txt lists for it.
 */
@ExtendWith(KnownRedCondition.class)
final class GatewayFuzzTest {

  private static final long SEED = 3;
  private static final Set<Long> SEEDS = Set.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 62014L, 62015L);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 62014, 62015})
  void promisesHoldUnderFaultsAndPlannedWork(long seed) throws IOException {
    List<GatewayFuzz.Result> results =
        Stream.of(GatewayFuzz.Plan.FAULTS, GatewayFuzz.Plan.PLANNED)
            .map(plan -> GatewayFuzz.execute(seed, plan, GatewayDefect.NONE))
            .toList();
    String description =
        results.stream().map(GatewayFuzz.Result::describe).collect(Collectors.joining("\n"));
    assertWithMessage(description)
        .that(checks(results.stream()))
        .isEqualTo(KnownRed.gatewayChecks(seed));
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
    GatewayFuzz.Result result =
        GatewayFuzz.execute(SEED, GatewayFuzz.Plan.CALM, GatewayDefect.NONE);
    assertWithMessage(result.describe()).that(result.violations()).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(
      value = GatewayFuzz.Plan.class,
      names = {"FAULTS", "PLANNED"})
  void equalSeedsGiveEqualRuns(GatewayFuzz.Plan plan) {
    assertThat(GatewayFuzz.execute(SEED, plan, GatewayDefect.NONE))
        .isEqualTo(GatewayFuzz.execute(SEED, plan, GatewayDefect.NONE));
  }

  @ParameterizedTest
  @CsvSource({
    "at-most-once, SENDS_TWICE, FAULTS",
    "not-run, SAYS_NOT_RUN, FAULTS",
    "one-ending, DROPS_ENDINGS, FAULTS",
    "one-ending, ENDS_TWICE, FAULTS",
    "final-answer, ENDS_AT_ONCE, FAULTS",
    "denied, DENIES_ROUTES, FAULTS",
    "one-holder, SHARES_A_FENCE, CALM",
    "recovery, IGNORES_ERAS, FAULTS",
    "rollback, TELLS_VERSIONS_BACKWARDS, FAULTS",
    "memory, ORDERS_BEYOND_MEMORY, CALM",
    "memory, MISSES_TRANSIT, FAULTS",
    "retry-budget, SPENDS_ANY_BUDGET, FAULTS",
    "drain, MISSES_CHANGES, CALM",
    "configuration, MISSES_CHANGES, CALM",
    "leaving-word, IGNORES_WORDS, FAULTS",
    "pause, IGNORES_WORDS, FAULTS",
    "crashing-request, FORGETS_CRASHES, FAULTS",
    "sound-refused, ACCUSES_THE_SOUND, FAULTS",
    "recovery, REFUSES_EVERYTHING, CALM",
    "core-fault, FAILS_INSIDE, CALM",
    "silence, CANCELS_BEFORE_TAKEOVER, PLANNED",
    "late-request, TAKES_TOO_LATE, PLANNED",
  })
  void checkSeesItsDefect(String check, GatewayDefects defect, GatewayFuzz.Plan plan) {
    Stream<GatewayFuzz.Result> results =
        LongStream.rangeClosed(1, plan == GatewayFuzz.Plan.CALM ? 1 : 8)
            .mapToObj(seed -> GatewayFuzz.execute(seed, plan, defect));
    assertThat(checks(results)).contains(check);
  }

  private static Set<String> checks(Stream<GatewayFuzz.Result> results) {
    return results
        .flatMap(result -> result.violations().stream())
        .map(Violation::check)
        .collect(Collectors.toSet());
  }
}
