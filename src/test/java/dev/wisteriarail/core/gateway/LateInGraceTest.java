package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.wisteriarail.KnownRedCondition;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of requests that reach a draining node late in its grace period, in virtual time. */
@ExtendWith(KnownRedCondition.class)
final class LateInGraceTest {

  private static final Duration LONG_LIMIT = Duration.ofSeconds(25);

  private final CoreHarness node = CoreHarness.ready();

  /**
   * Guards against a node that accepts a request late, by the expected time, and ends it when the
   * process exits.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void requestTakenLateEndsBeforeItsNode(long seed) {
    LateRequests requests = LateRequests.create(node, seed);
    requests.run();
    assertWithMessage("unended").that(requests.unended()).isEmpty();
    assertWithMessage("refused although run").that(requests.refusedAlthoughRun()).isEmpty();
    assertWithMessage("cut, not at a runner").that(requests.endedByExitWithoutRunner()).isEmpty();
    assertWithMessage("taken late and cut").that(requests.takenLateAndEndedByExit()).isEmpty();
    assertThat(requests.takenLateAndAnswered()).isGreaterThan(0);
  }

  @ParameterizedTest
  @CsvSource({
    // route, time limit, time after the stop request, accepted
    "lookup, 600, 6350, true",
    "lookup, 600, 6450, false",
    "lookup, 1000, 6150, true",
    "lookup, 1000, 6250, false",
    "lookup, 4000, 3200, true",
    "lookup, 4000, 3250, false",
    "lookup, 5000, 2800, true",
    "lookup, 5000, 2850, false",
    "lookup, 25000, 2850, false",
    "order, 600, 6350, true",
    "order, 4000, 3200, true",
    "order, 4000, 3250, false",
    "order, 5000, 2800, true",
    "order, 5000, 2850, false",
    "chat, 600, 2850, false",
    "report, 600, 2850, false",
  })
  void timeLimitDecidesOnLateRequests(
      String route, long limitMillis, long afterMillis, boolean accepted) {
    drainAfterRunTimes(route);
    node.pass(Duration.ofMillis(afterMillis));
    assertThat(isAccepted(route, Duration.ofMillis(limitMillis))).isEqualTo(accepted);
  }

  @ParameterizedTest
  @CsvSource({
    // time after the stop request, caller's time limit, accepted without any known run time
    "1000, 25000, false",
    "1000, 6000, true",
    "3000, 4000, true",
    "3000, 5000, false",
  })
  void timeLimitDecidesWithoutKnownRunTimes(long afterMillis, long limitMillis, boolean accepted) {
    node.configure(LONG_LIMIT);
    node.arrive("lookup", LONG_LIMIT);
    node.handle(new GatewayEvent.DrainRequested());
    node.pass(Duration.ofMillis(afterMillis));
    assertThat(isAccepted("order", Duration.ofMillis(limitMillis))).isEqualTo(accepted);
  }

  @Test
  void timeoutOfNewerConfigurationDecidesOnLateRequests() {
    drainAfterRunTimes("order");
    node.pass(Duration.ofSeconds(5));
    assertThat(isAccepted("order", LONG_LIMIT)).isFalse();
    node.configure(3, Duration.ofMillis(600));
    assertThat(isAccepted("order", LONG_LIMIT)).isTrue();
    node.configure(4, Duration.ofSeconds(5));
    assertThat(isAccepted("order", LONG_LIMIT)).isFalse();
  }

  /** A waiting request has one time limit, whatever configuration its node applies meanwhile. */
  @ParameterizedTest
  @CsvSource({
    // timeout on arrival, changed timeout, refused
    "25000, 4000, true",
    "4000, 25000, false",
  })
  void waitingRequestKeepsTheTimeoutOfItsArrival(
      long timeoutMillis, long changedMillis, boolean refused) {
    drainAfterRunTimes("lookup");
    node.configure(3, Duration.ofMillis(timeoutMillis));
    node.pass(Duration.ofMillis(1_800));
    node.directory(
        6,
        CoreHarness.runner("p1", CoreHarness.PLAIN, true),
        CoreHarness.runner("p2", CoreHarness.PLAIN, true));
    node.take(GatewayEffect.class);
    long exchange = node.arrive("lookup", LONG_LIMIT);
    node.configure(4, Duration.ofMillis(changedMillis));
    node.pass(Duration.ofMillis(1_100));
    boolean refusedNow =
        node.take(GatewayEffect.Refuse.class).stream()
            .anyMatch(refusal -> refusal.exchange() == exchange);
    assertThat(refusedNow).isEqualTo(refused);
    node.directory(7, CoreHarness.runner("p3", CoreHarness.PLAIN, false));
    List<Duration> timesLeft =
        node.take(GatewayEffect.SendAttempt.class).stream()
            .map(GatewayEffect.SendAttempt::timeLeft)
            .toList();
    assertThat(timesLeft)
        .isEqualTo(refused ? List.of() : List.of(Duration.ofMillis(timeoutMillis - 1_100)));
  }

  /** Guards against the retry of a request that its node ends before the new runner answers. */
  @ParameterizedTest
  @CsvSource({
    // route, time after the stop request of its arrival and of its rejection
    "order, 0, 2900",
    "order, 0, 6000",
    "lookup, 2700, 2900",
    "chat, 2700, 2900",
    "report, 0, 2900",
    "report, 0, 6000",
  })
  void unexecutedRequestIsRefusedWhenRejectedLate(
      String route, long arrivalMillis, long rejectionMillis) {
    drainAfterRunTimes(route);
    node.pass(Duration.ofMillis(arrivalMillis));
    long exchange = node.arrive(route, LONG_LIMIT);
    node.pass(Duration.ofMillis(rejectionMillis - arrivalMillis));
    node.take(GatewayEffect.class);
    node.updateAttempt(exchange, 1, new AttemptResult.Answered(503, true, false));
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    assertThat(all)
        .contains(
            new GatewayEffect.Refuse(
                exchange, ResultCode.DRAINING, Optional.of(DrainPlan.RETRY_AFTER)));
    assertThat(all.stream().filter(GatewayEffect.SendAttempt.class::isInstance).toList()).isEmpty();
  }

  @Test
  void shortRequestIsTriedAgainWhenRejectedLate() {
    drainAfterRunTimes("order");
    node.pass(Duration.ofSeconds(5));
    long exchange = node.arrive("order", Duration.ofSeconds(1));
    node.updateAttempt(exchange, 1, new AttemptResult.Answered(503, true, false));
    node.take(GatewayEffect.class);
    node.pass(Duration.ofMillis(100));
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    assertThat(all.stream().filter(GatewayEffect.SendAttempt.class::isInstance).toList())
        .hasSize(1);
  }

  @ParameterizedTest
  @CsvSource({
    // run time of the slow tenth, time after the stop request, accepted
    "1000, 2700, true",
    "3500, 2300, true",
    "3500, 2500, false",
  })
  void expectedTimeOfRequestThatMayRunOnceCoversTheSlowTenthAndOneSilence(
      long slowMillis, long afterMillis, boolean accepted) {
    node.configure(LONG_LIMIT);
    for (int i = 0; i < 32; i++) {
      runToEnd("order", Duration.ofMillis(i % 10 == 0 ? slowMillis : 100));
    }
    node.arrive("lookup", LONG_LIMIT);
    node.handle(new GatewayEvent.DrainRequested());
    node.pass(Duration.ofMillis(afterMillis));
    assertThat(isAccepted("order", LONG_LIMIT)).isEqualTo(accepted);
  }

  /** Begins to drain with known run times and one long request at a runner. */
  private void drainAfterRunTimes(String route) {
    node.configure(LONG_LIMIT);
    for (int i = 0; i < 20; i++) {
      runToEnd(route, Duration.ofMillis(50));
    }
    node.arrive("order", LONG_LIMIT);
    node.handle(new GatewayEvent.DrainRequested());
  }

  private boolean isAccepted(String route, Duration limit) {
    node.take(GatewayEffect.class);
    node.arrive(route, limit);
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    boolean sent = all.stream().anyMatch(GatewayEffect.SendAttempt.class::isInstance);
    boolean refused = all.stream().anyMatch(GatewayEffect.Refuse.class::isInstance);
    assertThat(sent).isNotEqualTo(refused);
    return sent;
  }

  private void runToEnd(String route, Duration time) {
    long exchange = node.arrive(route, LONG_LIMIT);
    node.updateAttempt(exchange, 1, new AttemptResult.Started());
    node.pass(time);
    node.updateAttempt(exchange, 1, new AttemptResult.Finished(200));
    node.take(GatewayEffect.class);
  }
}
