package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how long a draining node lets runners work on its requests, in virtual time. */
final class RunnerTimeLimitTest {

  private static final Duration LONG_LIMIT = Duration.ofSeconds(25);
  private static final Duration TICK = Duration.ofMillis(50);

  private final CoreHarness node = CoreHarness.ready();

  /**
   * Guards against a request in the queue of a runner whose outcome is unknown at the end of its
   * node, because the runner reports the request as unexecuted only later.
   */
  @ParameterizedTest
  @CsvSource({
    // route, caller's time limit, time after the stop request, time for the runner
    "order, 25000, 1700, 5350",
    "order, 25000, 2500, 4550",
    "report, 25000, 1700, 5350",
    "chat, 25000, 2500, 4550",
    "lookup, 25000, 0, 7050",
    "lookup, 7201, 0, 7050",
    "lookup, 7200, 0, 7200",
    "order, 3000, 1700, 3000",
    "order, 600, 5000, 600",
  })
  void runnerGetsNoMoreTimeThanItsNodeHas(
      String route, long limitMillis, long afterMillis, long expectedMillis) {
    drainAfterRunTimes(route);
    node.pass(Duration.ofMillis(afterMillis));
    node.arrive(route, Duration.ofMillis(limitMillis));
    assertThat(node.take(GatewayEffect.SendAttempt.class).getFirst().timeLeft())
        .isEqualTo(Duration.ofMillis(expectedMillis));
  }

  /** Guards against a runner that has to stop working before the last sixth of the period. */
  @ParameterizedTest
  @ValueSource(longs = {2_000, 4_000, 8_000, 30_000})
  void runnerMayWorkUntilTheLastSixthOfTheGracePeriod(long graceMillis) {
    CoreHarness stopping = CoreHarness.ready(Duration.ofMillis(graceMillis));
    stopping.configure(LONG_LIMIT);
    stopping.arrive("lookup", LONG_LIMIT);
    stopping.handle(new GatewayEvent.DrainRequested());
    stopping.take(GatewayEffect.class);
    stopping.arrive("lookup", Duration.ofMillis(graceMillis - 1));
    List<GatewayEffect.SendAttempt> sent = stopping.take(GatewayEffect.SendAttempt.class);
    sent.forEach(each -> assertThat(6 * each.timeLeft().toMillis()).isAtLeast(5 * graceMillis));
  }

  /** A request that was in a runner's queue is refused, so that another node can serve it. */
  @ParameterizedTest
  @CsvSource({"order, 1700", "order, 2500", "report, 1700", "report, 2500"})
  void requestThatNeverLeftTheQueueIsRefusedBeforeTheNodeEnds(String route, long afterMillis) {
    drainAfterRunTimes(route);
    node.pass(Duration.ofMillis(afterMillis));
    long exchange = node.arrive(route, LONG_LIMIT);
    GatewayEffect.SendAttempt sent = node.take(GatewayEffect.SendAttempt.class).getFirst();
    node.pass(sent.timeLeft());
    node.updateAttempt(exchange, sent.attempt(), new AttemptResult.Answered(503, true, false));
    node.pass(Duration.ofSeconds(1));
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    assertThat(all)
        .contains(
            new GatewayEffect.Refuse(
                exchange, ResultCode.DRAINING, Optional.of(DrainPlan.RETRY_AFTER)));
    assertThat(all.stream().filter(GatewayEffect.SendAttempt.class::isInstance).toList()).isEmpty();
  }

  /** Guards against an attempt that cannot end before its node, which only uses up the budget. */
  @ParameterizedTest
  @CsvSource({"chat, true", "chat, false", "lookup, false"})
  void requestThatRunnerEndsAtItsTimeLimitIsNotSentAgain(String route, boolean started) {
    drainAfterRunTimes(route);
    long exchange = node.arrive(route, LONG_LIMIT);
    GatewayEffect.SendAttempt sent = node.take(GatewayEffect.SendAttempt.class).getFirst();
    if (started) {
      node.updateAttempt(exchange, sent.attempt(), new AttemptResult.Started());
    }
    for (Duration passed = Duration.ZERO;
        passed.compareTo(sent.timeLeft()) < 0;
        passed = passed.plus(TICK)) {
      node.pass(TICK);
      node.updateAttempt(exchange, sent.attempt(), new AttemptResult.Progressed());
    }
    node.take(GatewayEffect.class);
    node.updateAttempt(
        exchange,
        sent.attempt(),
        started
            ? new AttemptResult.Broken("ended", true, "3", true)
            : new AttemptResult.Answered(504, false, false));
    node.pass(Duration.ofSeconds(1));
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    assertThat(all.stream().filter(GatewayEffect.SendAttempt.class::isInstance).toList()).isEmpty();
    GatewayEffect end =
        started
            ? new GatewayEffect.AbortAnswer(exchange)
            : new GatewayEffect.Refuse(exchange, ResultCode.OUTCOME_UNKNOWN, Optional.empty());
    assertThat(all.stream().filter(end::equals).toList()).hasSize(1);
  }

  /** Begins to drain with known run times and one long request at a runner. */
  private void drainAfterRunTimes(String route) {
    node.configure(LONG_LIMIT);
    for (int i = 0; i < 20; i++) {
      long exchange = node.arrive(route, LONG_LIMIT);
      node.updateAttempt(exchange, 1, new AttemptResult.Started());
      node.pass(TICK);
      node.updateAttempt(exchange, 1, new AttemptResult.Finished(200));
    }
    node.arrive("order", LONG_LIMIT);
    node.handle(new GatewayEvent.DrainRequested());
    node.take(GatewayEffect.class);
  }
}
