package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.KnownRedCondition;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a draining node ends each accepted request correctly, in virtual time. */
@ExtendWith(KnownRedCondition.class)
final class StoppingNodeTest {

  private static final Duration GRACE = Duration.ofSeconds(8);

  /** Request timeout that exceeds the grace period of a draining node. */
  private static final Duration LONG_LIMIT = Duration.ofSeconds(25);

  /** Request timeout that exceeds all grace periods. */
  private static final Duration LIMIT_BEYOND_GRACE = Duration.ofSeconds(60);

  private static final Duration SHORT_LIMIT = Duration.ofMillis(200);

  private static final Duration TICK = Duration.ofMillis(50);

  private final CoreHarness node = CoreHarness.ready();

  /**
   * Guards against a node that exits without responding to a request that waits, or that a runner
   * has.
   */
  @ParameterizedTest
  @CsvSource({
    "lookup, SENT, OUTCOME_UNKNOWN",
    "order, SENT, OUTCOME_UNKNOWN",
    "chat, SENT, OUTCOME_UNKNOWN",
    "report, SENT, OUTCOME_UNKNOWN",
    "report, REJECTED, DRAINING",
    "order, REJECTED, DRAINING",
    "report, WAITING, DRAINING",
    "chat, WAITING, DRAINING",
  })
  void pendingRequestGetsItsFinalAnswerBeforeTheNodeExits(
      String route, Stage stage, ResultCode expected) {
    node.configure(LONG_LIMIT);
    if (stage == Stage.WAITING) {
      forgetModel();
    }
    long exchange = node.arrive(route, LONG_LIMIT);
    node.handle(new GatewayEvent.DrainRequested());
    if (stage == Stage.REJECTED) {
      node.pass(Duration.ofMillis(7_150));
      node.updateAttempt(exchange, 1, new AttemptResult.Answered(503, true, false));
    }
    node.pass(GRACE);
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    List<GatewayEffect.Refuse> refusals = only(all, GatewayEffect.Refuse.class);
    assertThat(refusals).hasSize(1);
    assertThat(refusals.getFirst().exchange()).isEqualTo(exchange);
    assertThat(refusals.getFirst().code()).isEqualTo(expected);
    assertThat(all.indexOf(refusals.getFirst()))
        .isLessThan(all.indexOf(new GatewayEffect.DrainCompleted()));
    assertThat(only(all, GatewayEffect.CancelAttempt.class).isEmpty())
        .isEqualTo(stage != Stage.SENT);
  }

  @ParameterizedTest
  @CsvSource({"chat", "report"})
  void streamThatIsStillRunningWhenItsNodeEndsIsCutVisibly(String route) {
    node.configure(LONG_LIMIT);
    long exchange = node.arrive(route, LONG_LIMIT);
    node.updateAttempt(exchange, 1, new AttemptResult.Started());
    node.handle(new GatewayEvent.DrainRequested());
    for (int i = 0; i < 80; i++) {
      node.pass(Duration.ofMillis(100));
      node.updateAttempt(exchange, 1, new AttemptResult.Progressed());
    }
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    assertThat(only(all, GatewayEffect.AbortAnswer.class))
        .containsExactly(new GatewayEffect.AbortAnswer(exchange));
    assertThat(all.indexOf(new GatewayEffect.AbortAnswer(exchange)))
        .isLessThan(all.indexOf(new GatewayEffect.DrainCompleted()));
  }

  @ParameterizedTest
  @CsvSource({
    // route, run time of earlier requests, time after the stop request, accepted
    "chat, 400, 1000, true",
    "chat, 400, 2700, true",
    "chat, 400, 2900, false",
    "chat, 5000, 1000, true",
    "chat, 5000, 2100, true",
    "chat, 5000, 2300, false",
    "chat, 7500, 100, false",
    "report, 400, 1000, true",
    "report, 400, 2700, true",
    "report, 400, 2900, false",
    "report, 5000, 800, true",
    "report, 5000, 1000, false",
    "report, 7500, 100, false",
  })
  void stoppingNodeTakesOnlyStreamsThatCanEndBeforeIt(
      String route, long runMillis, long afterMillis, boolean accepted) {
    node.configure(LONG_LIMIT);
    runToEnd(route, Duration.ofMillis(runMillis));
    node.arrive("order", LONG_LIMIT);
    node.handle(new GatewayEvent.DrainRequested());
    node.pass(Duration.ofMillis(afterMillis));
    node.take(GatewayEffect.class);
    node.arrive(route, LONG_LIMIT);
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    assertThat(only(all, GatewayEffect.SendAttempt.class)).hasSize(accepted ? 1 : 0);
    List<GatewayEffect.Refuse> refusals = only(all, GatewayEffect.Refuse.class);
    assertThat(refusals).hasSize(accepted ? 0 : 1);
    refusals.forEach(refusal -> assertThat(refusal.code()).isEqualTo(ResultCode.DRAINING));
  }

  @Test
  void runningStreamsCountTowardsTheExpectedRunTime() {
    node.configure(LONG_LIMIT);
    runToEnd("report", Duration.ofMillis(400));
    long running = node.arrive("report", LONG_LIMIT);
    node.updateAttempt(running, 1, new AttemptResult.Started());
    node.pass(Duration.ofSeconds(6));
    node.handle(new GatewayEvent.DrainRequested());
    node.pass(Duration.ofSeconds(2));
    node.take(GatewayEffect.class);
    node.arrive("report", LONG_LIMIT);
    assertThat(node.take(GatewayEffect.Refuse.class)).hasSize(1);
  }

  @Test
  void requestWhoseModelComesTooLateIsHandedBackAtOnce() {
    node.configure(LONG_LIMIT);
    runToEnd("report", Duration.ofSeconds(6));
    forgetModel();
    node.receiveForecast("n2", Duration.ofMillis(1_500));
    node.arrive("report", LONG_LIMIT);
    assertThat(node.take(GatewayEffect.Refuse.class)).isEmpty();
    node.handle(new GatewayEvent.DrainRequested());
    List<GatewayEffect.Refuse> refusals = node.take(GatewayEffect.Refuse.class);
    assertThat(refusals).hasSize(1);
    assertThat(refusals.getFirst().retryAfter()).hasValue(DrainPlan.RETRY_AFTER);
  }

  @Test
  void begunStreamBetweenTwoTriesIsNotCutAtTheStopRequest() {
    node.configure(LONG_LIMIT);
    runToEnd("chat", Duration.ofMillis(7_500));
    long exchange = node.arrive("chat", LONG_LIMIT);
    node.updateAttempt(exchange, 1, new AttemptResult.Started());
    node.pass(Duration.ofSeconds(1));
    node.updateAttempt(exchange, 1, new AttemptResult.Broken("reset", true, "3", true));
    node.pass(Duration.ofMillis(50));
    node.updateAttempt(exchange, 2, new AttemptResult.Answered(503, true, false));
    node.take(GatewayEffect.class);
    node.handle(new GatewayEvent.DrainRequested());
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    assertThat(only(all, GatewayEffect.AbortAnswer.class)).isEmpty();
  }

  @Test
  void repeatableRequestThatMayHaveRunIsTriedAgainByStoppingNode() {
    node.configure(LONG_LIMIT);
    long exchange = node.arrive("lookup", LONG_LIMIT);
    node.updateAttempt(exchange, 1, new AttemptResult.Broken("reset", false, "", true));
    node.pass(Duration.ofMillis(50));
    node.updateAttempt(exchange, 2, new AttemptResult.Answered(503, true, false));
    node.take(GatewayEffect.class);
    node.handle(new GatewayEvent.DrainRequested());
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    assertThat(only(all, GatewayEffect.Refuse.class)).isEmpty();
  }

  @Test
  void stoppingNodeAcceptsShortRequestsDespiteOneHungRequest() {
    node.configure(LONG_LIMIT);
    for (int i = 0; i < 20; i++) {
      runToEnd("order", Duration.ofMillis(50));
    }
    node.arrive("order", LONG_LIMIT);
    node.pass(Duration.ofSeconds(8));
    node.handle(new GatewayEvent.DrainRequested());
    node.take(GatewayEffect.class);
    node.arrive("order", LONG_LIMIT);
    assertThat(node.take(GatewayEffect.Refuse.class)).isEmpty();
  }

  @Test
  void streamTakenLongAfterTheStopRequestIsNotCutAtTheEnd() {
    node.configure(LONG_LIMIT);
    for (int i = 0; i < 20; i++) {
      runToEnd("report", Duration.ofMillis(400));
    }
    node.arrive("order", LONG_LIMIT);
    node.handle(new GatewayEvent.DrainRequested());
    node.pass(Duration.ofMillis(3_500));
    long exchange = node.arrive("report", LONG_LIMIT);
    node.updateAttempt(exchange, 1, new AttemptResult.Started());
    node.pass(Duration.ofSeconds(5));
    assertThat(node.take(GatewayEffect.AbortAnswer.class)).isEmpty();
  }

  @Test
  void timedOutStreamsCountTowardsTheExpectedRunTime() {
    node.configure(Duration.ofSeconds(6));
    runToEnd("report", Duration.ofSeconds(1));
    for (int i = 0; i < 20; i++) {
      long slow = node.arrive("report", Duration.ofSeconds(6));
      node.updateAttempt(slow, 1, new AttemptResult.Started());
      node.pass(Duration.ofSeconds(7));
    }
    node.arrive("order", Duration.ofSeconds(6));
    node.handle(new GatewayEvent.DrainRequested());
    node.pass(Duration.ofSeconds(3));
    node.take(GatewayEffect.class);
    node.arrive("report", Duration.ofSeconds(6));
    List<GatewayEffect.Refuse> refusals = node.take(GatewayEffect.Refuse.class);
    assertThat(refusals).hasSize(1);
    assertThat(refusals.getFirst().code()).isEqualTo(ResultCode.DRAINING);
  }

  @Test
  void settingsReadWhileStoppingDoNotMoveTheEnd() {
    node.configure(LONG_LIMIT);
    node.arrive("order", LONG_LIMIT);
    node.handle(new GatewayEvent.DrainRequested());
    node.handle(new GatewayEvent.SettingsReloaded(CoreHarness.settings(GRACE.multipliedBy(2))));
    node.pass(GRACE);
    assertThat(node.take(GatewayEffect.DrainCompleted.class)).hasSize(1);
  }

  /**
   * Guards against a node that ends a request at a sound runner long before it must have exited.
   */
  @ParameterizedTest
  @CsvSource({
    // grace period, time after the stop request at which the node ends its requests
    "2000, 1750",
    "4000, 3500",
    "8000, 7200",
    "30000, 29200",
  })
  void requestAtRunnerIsEndedInTheLastSixthOfTheGracePeriod(long graceMillis, long endMillis) {
    CoreHarness stopping = CoreHarness.ready(Duration.ofMillis(graceMillis));
    stopping.configure(LIMIT_BEYOND_GRACE);
    stopping.arrive("order", LIMIT_BEYOND_GRACE);
    stopping.handle(new GatewayEvent.DrainRequested());
    long passed = 0;
    while (stopping.take(GatewayEffect.Refuse.class).isEmpty() && passed < graceMillis) {
      stopping.pass(TICK);
      passed += TICK.toMillis();
    }
    assertThat(passed).isEqualTo(endMillis);
    assertThat(6 * passed).isAtLeast(5 * graceMillis);
  }

  @ParameterizedTest
  @ValueSource(longs = {2_000, 4_000, 8_000, 30_000})
  void idleConnectionsAreClosedBeforeTheNodeEnds(long graceMillis) {
    CoreHarness stopping = CoreHarness.ready(Duration.ofMillis(graceMillis));
    stopping.configure(LIMIT_BEYOND_GRACE);
    stopping.arrive("order", LIMIT_BEYOND_GRACE);
    stopping.handle(new GatewayEvent.DrainRequested());
    stopping.pass(Duration.ofMillis(graceMillis * 3 / 4));
    assertThat(stopping.take(GatewayEffect.CloseIdleCallers.class)).isNotEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    // grace period, time after the stop request, accepted
    "2000, 1300, true",
    "2000, 1400, false",
    "4000, 2700, true",
    "4000, 2800, false",
    "8000, 6400, true",
    "8000, 6450, false",
    "30000, 28400, true",
    "30000, 28450, false",
  })
  void shortRequestIsAcceptedUntilShortlyBeforeTheNodeEnds(
      long graceMillis, long afterMillis, boolean accepted) {
    CoreHarness stopping = CoreHarness.ready(Duration.ofMillis(graceMillis));
    stopping.configure(LIMIT_BEYOND_GRACE);
    stopping.arrive("order", LIMIT_BEYOND_GRACE);
    stopping.handle(new GatewayEvent.DrainRequested());
    stopping.pass(Duration.ofMillis(afterMillis));
    stopping.take(GatewayEffect.class);
    stopping.arrive("lookup", SHORT_LIMIT);
    assertThat(stopping.take(GatewayEffect.SendAttempt.class)).hasSize(accepted ? 1 : 0);
  }

  /** Removes m0 from all engines; the coordinator has published no forecast for it. */
  private void forgetModel() {
    node.directory(6, CoreHarness.emptyEngine("e1"), CoreHarness.emptyEngine("e2"));
    node.receiveCoordinatorHeartbeat("n2");
  }

  @ParameterizedTest
  @CsvSource({
    // route, run time of earlier requests, time after the stop request of its arrival and refusal
    "chat, 5000, 1200, 2250",
    "report, 4000, 900, 1950",
    "chat, 400, 1800, 2850",
    "report, 400, 1800, 2850",
  })
  void waitingRequestIsRefusedOnceItMayNotCompleteInTime(
      String route, long runMillis, long arrivalMillis, long refusalMillis) {
    node.configure(LONG_LIMIT);
    runToEnd(route, Duration.ofMillis(runMillis));
    forgetModel();
    node.handle(new GatewayEvent.DrainRequested());
    node.pass(Duration.ofMillis(arrivalMillis));
    node.receiveCoordinatorHeartbeat("n2");
    node.arrive(route, LONG_LIMIT);
    assertThat(node.take(GatewayEffect.Refuse.class)).isEmpty();
    for (long passed = arrivalMillis; passed < refusalMillis - 50; passed += 50) {
      node.pass(Duration.ofMillis(50));
      node.receiveCoordinatorHeartbeat("n2");
    }
    assertThat(node.take(GatewayEffect.Refuse.class)).isEmpty();
    node.pass(Duration.ofMillis(50));
    List<GatewayEffect.Refuse> refusals = node.take(GatewayEffect.Refuse.class);
    assertThat(refusals).hasSize(1);
    assertThat(refusals.getFirst().code()).isEqualTo(ResultCode.DRAINING);
  }

  /** Runs one request; a stream sends an event every 50 ms. */
  private void runToEnd(String route, Duration time) {
    long exchange = node.arrive(route, LONG_LIMIT);
    node.updateAttempt(exchange, 1, new AttemptResult.Started());
    for (long passed = 0; passed < time.toMillis(); passed += 50) {
      node.pass(Duration.ofMillis(50));
      node.updateAttempt(exchange, 1, new AttemptResult.Progressed());
    }
    node.updateAttempt(exchange, 1, new AttemptResult.Finished(200));
    node.take(GatewayEffect.class);
  }

  private static <T> List<T> only(List<GatewayEffect> effects, Class<T> kind) {
    return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  enum Stage {
    WAITING,
    SENT,
    REJECTED
  }
}
