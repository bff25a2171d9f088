package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.fleet.RunnerRun;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how a node reacts to a notification that a runner leaves or asks for a pause. */
class RunnerNotificationsTest {

  private static final RunnerNotification LEAVES = new RunnerNotification.Leaving();

  private final CoreHarness node = CoreHarness.ready();

  private RunnerEntry sentTo() {
    return node.take(GatewayEffect.SendAttempt.class).getFirst().runner();
  }

  private Set<String> runnersOf(String route, int requests) {
    for (int i = 0; i < requests; i++) {
      node.arrive(route);
    }
    return node.take(GatewayEffect.SendAttempt.class).stream()
        .map(send -> send.runner().id())
        .collect(Collectors.toSet());
  }

  @ParameterizedTest
  @ValueSource(strings = {"order", "lookup", "chat", "report"})
  void runnerThatLeavesGetsNothingNewAndKeepsWhatItHas(String route) {
    final long exchange = node.arrive(route);
    RunnerEntry leaving = sentTo();
    node.notifyFrom(leaving, LEAVES);
    assertThat(runnersOf(route, 4)).doesNotContain(leaving.id());
    assertThat(node.take(GatewayEffect.CancelAttempt.class)).isEmpty();
    node.updateAttempt(exchange, 1, new AttemptResult.Finished(200));
    assertThat(node.take(GatewayEffect.Refuse.class)).isEmpty();
  }

  @Test
  void leavingRunnerIsReportedOnceToPeersAndAvoidedByThem() {
    node.receiveCoordinatorHeartbeat("n2");
    node.arrive("order");
    RunnerEntry leaving = sentTo();
    node.notifyFrom(leaving, LEAVES);
    List<RunnerRun> reported =
        node.take(GatewayEffect.SendPeer.class).stream()
            .map(GatewayEffect.SendPeer::message)
            .filter(FleetMessage.Beat.class::isInstance)
            .flatMap(beat -> ((FleetMessage.Beat) beat).leaving().stream())
            .toList();
    assertThat(reported).containsExactly(RunnerRun.of(leaving));
    CoreHarness peer = CoreHarness.ready();
    peer.receiveLeavingRunners("n1", RunnerRun.of(leaving));
    for (int i = 0; i < 4; i++) {
      peer.arrive("order");
    }
    assertThat(peer.take(GatewayEffect.SendAttempt.class).stream().map(s -> s.runner().id()))
        .doesNotContain(leaving.id());
  }

  @ParameterizedTest
  @ValueSource(strings = {"order", "lookup", "chat", "report"})
  void runnerThatWantsPauseGetsNothingUntilItIsOver(String route) {
    long exchange = node.arrive(route);
    RunnerEntry paused = sentTo();
    node.notifyFrom(paused, new RunnerNotification.RetryAfter("1.5"));
    node.updateAttempt(exchange, 1, new AttemptResult.Answered(503, true, true));
    node.pass(Duration.ofSeconds(1));
    Set<String> meanwhile = runnersOf(route, 4);
    assertThat(meanwhile).isNotEmpty();
    assertThat(meanwhile).doesNotContain(paused.id());
    node.pass(Duration.ofMillis(600));
    assertThat(runnersOf(route, 16)).contains(paused.id());
  }

  @Test
  void pauseIsNoFailureOfTheRunner() {
    for (int i = 0; i < 8; i++) {
      long exchange = node.arrive("order");
      RunnerEntry runner = sentTo();
      node.notifyFrom(runner, new RunnerNotification.RetryAfter("0.2"));
      node.updateAttempt(exchange, 1, new AttemptResult.Answered(503, false, true));
      node.pass(Duration.ofMillis(250));
    }
    assertThat(
            node.take(GatewayEffect.LogEvent.class).stream()
                .filter(emit -> emit.event().code() == EventCode.RUNNER_EJECTED))
        .isEmpty();
  }

  /**
   * If all runners ask for long pauses, a request is refused at once with the first end as
   * retry-after.
   */
  @ParameterizedTest
  @CsvSource({"1.5, false", "40, true"})
  void requestWaitsForPauseOrIsRefusedWithItsEnd(String seconds, boolean refused) {
    for (String id : List.of("p1", "p2")) {
      node.notifyFrom(
          CoreHarness.runner(id, "plain", false), new RunnerNotification.RetryAfter(seconds));
    }
    node.arrive("order");
    if (refused) {
      GatewayEffect.Refuse refusal = node.take(GatewayEffect.Refuse.class).getFirst();
      assertThat(refusal.code()).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
      assertThat(refusal.retryAfter().orElseThrow()).isEqualTo(Duration.ofSeconds(40));
    } else {
      node.pass(Duration.ofMillis(1_600));
      assertThat(node.take(GatewayEffect.SendAttempt.class)).hasSize(1);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"-5", "Fri, 04 Dec 2026 09:00:00 GMT", "1e30"})
  void invalidPauseIsLoggedAndIgnored(String seconds) {
    for (String id : List.of("p1", "p2")) {
      node.notifyFrom(
          CoreHarness.runner(id, "plain", false), new RunnerNotification.RetryAfter(seconds));
    }
    assertThat(
            node.take(GatewayEffect.LogEvent.class).stream()
                .filter(emit -> emit.event().code() == EventCode.RUNNER_PAUSE_IGNORED)
                .count())
        .isEqualTo(2);
    node.arrive("order");
    assertThat(node.take(GatewayEffect.SendAttempt.class)).hasSize(1);
  }
}
