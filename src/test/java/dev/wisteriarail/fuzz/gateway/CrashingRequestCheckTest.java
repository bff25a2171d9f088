package dev.wisteriarail.fuzz.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.fuzz.oracle.Violation;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests that crash runners the fuzz reports as kept from them too late. */
class CrashingRequestCheckTest {

  private static final Duration WINDOW = Duration.ofSeconds(3);
  private static final Instant START = Instant.EPOCH.plusSeconds(100);
  private static final RouteSpec ROUTE =
      GatewayFuzzDeployment.configuration(1).route(GatewayFuzzDeployment.HOST, "/chat/1").get();

  /** A node that has just started is not in touch by the platform's rules. */
  @ParameterizedTest
  @CsvSource({"0, false", "2999, false", "3000, true"})
  void nodeIsSettledOnlyAfterItHasRunForTheWindow(long ranMillis, boolean settled) {
    FuzzedNode node = new FuzzedNode(0, GatewayDefect.NONE);
    assertThat(node.hasRunFor(Duration.ZERO, START)).isFalse();
    node.start(START);
    assertThat(node.hasRunFor(WINDOW, START.plusMillis(ranMillis))).isEqualTo(settled);
    node.start(START.plus(WINDOW));
    assertThat(node.hasRunFor(WINDOW, START.plus(WINDOW).plusMillis(1))).isFalse();
    node.stop();
    assertThat(node.hasRunFor(WINDOW, START.plus(WINDOW).plus(WINDOW))).isFalse();
  }

  @Test
  void fourthLateRequestOfSettledNodesIsReported() {
    assertThat(checksAfter(true, true, true, true)).containsExactly("crashing-request");
    assertThat(checksAfter(true, false, true, true, false)).isEmpty();
    assertThat(checksAfter(true, false, true, true, true)).containsExactly("crashing-request");
  }

  /** Returns the checks that report requests sent after three crashes, by state of their node. */
  private static List<String> checksAfter(boolean... settled) {
    GatewayOracle oracle = new GatewayOracle();
    for (int i = 0; i < 3; i++) {
      oracle.recordCrash("chat#" + i + "~m1~~" + GatewayOracle.CRASHING + "content", START);
    }
    Instant late = START.plus(WINDOW).plusMillis(1);
    for (int i = 0; i < settled.length; i++) {
      String id = "chat#1" + i + "~m1~~" + GatewayOracle.CRASHING + "content";
      oracle.recordRequest(id, ROUTE, 0, late);
      oracle.recordCrashingArrival(id, settled[i], late);
    }
    return oracle.violations().stream().map(Violation::check).toList();
  }
}
