package dev.wisteriarail.fuzz.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.fuzz.oracle.Violation;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests without an answer are violations, and by which check. */
class RunOracleTest {

  private static final String REQUEST = "lookup#1~~~";
  private static final int NODE = 1;
  private static final Instant STOP = Instant.EPOCH.plusSeconds(100);

  private static Instant afterStop(long millis) {
    return STOP.plusMillis(millis);
  }

  /** A request that its node took late may end at its time limit, but not with the node. */
  @ParameterizedTest
  @CsvSource({
    // sent, deadline, run completed and node ended, in ms after the stop request; check
    "3100, 9000, 8500, 7200, late-request",
    "3100, 7201, 7300, 7200, late-request",
    "3100, 7200, 7300, 7200, ",
    "3100, 7190, 8500, 7200, ",
    "2900, 9000, 8500, 7200, ",
    "2900, 9000, 6600, 7200, silence",
    "3100, 9000, 7100, 7200, ",
  })
  void requestTakenLateMayEndAtItsTimeLimitOnly(
      long sent, long deadline, long completed, long ended, String check) {
    RunOracle oracle = new RunOracle();
    oracle.beginRun(REQUEST, 1, true, afterStop(sent + 1));
    oracle.completeRun(REQUEST, 1, afterStop(completed));
    oracle.recordCancel(
        REQUEST, 1, afterStop(check != null && check.equals("silence") ? sent + 500 : ended));
    oracle.recordStop(NODE, STOP, afterStop(ended));
    List<Violation> violations = new ArrayList<>();
    oracle.judge(
        List.of(
            new RunOracle.UnansweredRequest(
                REQUEST, NODE, afterStop(sent), afterStop(deadline), afterStop(ended), "WR-1304")),
        violations);
    assertThat(violations.stream().map(Violation::check).toList())
        .isEqualTo(check == null ? List.of() : List.of(check));
  }
}
