package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a fault of the node while sending ends the request and accuses no runner. */
class LocalFaultTest {

  private static final AttemptResult NOT_SENT = new AttemptResult.LocalFault("a fault", false, "");
  private static final AttemptResult MAYBE_SENT = new AttemptResult.LocalFault("a fault", true, "");
  private static final int MAX_ATTEMPTS = 3;

  /** Longer than the pauses between all attempts of a request. */
  private static final Duration PAUSES = Duration.ofMillis(500);

  /** Longer than the first ejection of a runner, shorter than the second one. */
  private static final Duration EJECTION = Duration.ofMillis(700);

  private static final Duration STEP = Duration.ofMillis(50);

  /** Steps until shortly before the deadline. */
  private static final int STEPS = 80;

  private final CoreHarness node = CoreHarness.ready();

  /** Delivers a request that the node fails to send at each attempt; returns its effects. */
  private List<GatewayEffect> arriveAndFail(String route, long fingerprint, AttemptResult fault) {
    node.take(GatewayEffect.class);
    long exchange = node.arrive(route, fingerprint);
    for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      node.updateAttempt(exchange, attempt, fault);
      node.pass(PAUSES);
    }
    return node.take(GatewayEffect.class);
  }

  private static <T extends GatewayEffect> List<T> only(List<GatewayEffect> all, Class<T> kind) {
    return all.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  private static List<EventCode> logged(List<GatewayEffect> all) {
    return only(all, GatewayEffect.LogEvent.class).stream()
        .map(logEvent -> logEvent.event().code())
        .toList();
  }

  @ParameterizedTest
  @ValueSource(strings = {"lookup", "order", "chat", "report"})
  void requestThatCannotBeSentIsRefusedAndEjectsNoRunner(String route) {
    List<GatewayEffect> all = arriveAndFail(route, 1, NOT_SENT);
    assertThat(only(all, GatewayEffect.SendAttempt.class)).hasSize(MAX_ATTEMPTS);
    assertThat(logged(all)).doesNotContain(EventCode.RUNNER_EJECTED);
    List<GatewayEffect.Refuse> refusals = only(all, GatewayEffect.Refuse.class);
    assertThat(refusals).hasSize(1);
    assertThat(refusals.getFirst().code()).isEqualTo(ResultCode.SENDING_FAILED);
    assertThat(refusals.getFirst().retryAfter()).isPresent();
  }

  /** Both plain runners get a request right after many faults. */
  @Test
  void runnersGetRequestsAfterFaults() {
    for (int i = 0; i < 20; i++) {
      arriveAndFail("order", i, NOT_SENT);
    }
    node.arrive("order");
    node.arrive("order");
    List<GatewayEffect.SendAttempt> sent = node.take(GatewayEffect.SendAttempt.class);
    assertThat(sent.stream().map(send -> send.runner().id()).toList()).containsExactly("p1", "p2");
  }

  /** A runner on probation gets the next request after a probe that was not sent. */
  @Test
  void faultEndsProbeWithoutResult() {
    long exchange = node.arrive("lookup");
    node.updateAttempt(exchange, 1, new AttemptResult.NotSent("refused"));
    node.pass(Duration.ofMillis(100));
    node.updateAttempt(exchange, 2, new AttemptResult.NotSent("refused"));
    node.handle(new GatewayEvent.CallerDisconnected(exchange));
    node.pass(EJECTION);
    List<GatewayEffect> all = arriveAndFail("lookup", 1, NOT_SENT);
    assertThat(only(all, GatewayEffect.SendAttempt.class)).hasSize(MAX_ATTEMPTS);
    assertThat(logged(all)).doesNotContain(EventCode.RUNNER_EJECTED);
    node.arrive("lookup");
    assertThat(node.take(GatewayEffect.SendAttempt.class)).hasSize(1);
  }

  /** A request of which a byte may have been sent ends as after a lost connection. */
  @ParameterizedTest
  @CsvSource({"lookup, 2", "order, 1", "chat, 2", "report, 1"})
  void requestThatMayHaveBeenSentRunsOnNoMoreRunnersThanAllowed(String route, int runners) {
    List<GatewayEffect> all = arriveAndFail(route, 1, MAYBE_SENT);
    assertThat(only(all, GatewayEffect.SendAttempt.class)).hasSize(runners);
    assertThat(logged(all)).doesNotContain(EventCode.RUNNER_EJECTED);
    assertThat(only(all, GatewayEffect.Refuse.class).getFirst().code())
        .isEqualTo(ResultCode.OUTCOME_UNKNOWN);
  }

  @Test
  void faultsAreNoEvidenceOfCrashes() {
    for (int i = 0; i < 6; i++) {
      arriveAndFail("order", 99, MAYBE_SENT);
    }
    node.arrive("order", 99);
    assertThat(node.take(GatewayEffect.SendAttempt.class)).hasSize(1);
  }

  /** The first attempt goes on after faults of the next ones, of which there is a limit. */
  @Test
  void silentRunnerMayGoOnAfterFaults() {
    long exchange = node.arrive("lookup");
    node.take(GatewayEffect.class);
    int faults = 0;
    for (int i = 0; i < STEPS; i++) {
      node.pass(STEP);
      List<GatewayEffect> all = node.take(GatewayEffect.class);
      assertThat(only(all, GatewayEffect.Refuse.class)).isEmpty();
      for (GatewayEffect.SendAttempt send : only(all, GatewayEffect.SendAttempt.class)) {
        faults++;
        node.updateAttempt(exchange, send.attempt(), NOT_SENT);
      }
    }
    assertThat(faults).isEqualTo(MAX_ATTEMPTS);
    node.updateAttempt(exchange, 1, new AttemptResult.Finished(200));
    node.pass(Duration.ofSeconds(6));
    assertThat(node.take(GatewayEffect.Refuse.class)).isEmpty();
  }
}
