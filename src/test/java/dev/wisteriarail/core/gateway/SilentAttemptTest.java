package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.forward.AttemptResult;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that an attempt whose runner is silent is given up only once another attempt has prevailed.
 */
class SilentAttemptTest {

  /** Longer than the timeouts for the first byte and the next event of all routes. */
  private static final Duration SILENCE = Duration.ofSeconds(1);

  private static final Duration LONG_LIMIT = Duration.ofSeconds(60);

  /** How the second runner fails. */
  enum Failure {
    FULL,
    FAILING,
    UNREACHABLE,
    LOST;

    AttemptResult result() {
      return switch (this) {
        case FULL -> new AttemptResult.Answered(503, true, true);
        case FAILING -> new AttemptResult.Answered(500, false, true);
        case UNREACHABLE -> new AttemptResult.NotSent("refused");
        case LOST -> new AttemptResult.Broken("reset", false, "", true);
      };
    }
  }

  /** What ends a request while two attempts are live. */
  enum End {
    DISCONNECT,
    DEADLINE,
    NODE_END
  }

  private final CoreHarness node = CoreHarness.ready();

  /** Delivers a request, which the second runner gets, too, after a silence of the first one. */
  private long arriveAndFallSilent(String route, boolean started) {
    long exchange = node.arrive(route);
    if (started) {
      node.updateAttempt(exchange, 1, new AttemptResult.Started());
    }
    node.pass(SILENCE);
    return exchange;
  }

  private static <T extends GatewayEffect> List<T> only(List<GatewayEffect> all, Class<T> kind) {
    return all.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  private static void assertNotEnded(List<GatewayEffect> all) {
    assertThat(only(all, GatewayEffect.Refuse.class)).isEmpty();
    assertThat(only(all, GatewayEffect.AbortAnswer.class)).isEmpty();
    assertThat(only(all, GatewayEffect.RelayAnswer.class)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "chat, true, FULL",
    "chat, true, FAILING",
    "chat, true, UNREACHABLE",
    "chat, true, LOST",
    "chat, false, FULL",
    "chat, false, FAILING",
    "chat, false, UNREACHABLE",
    "chat, false, LOST",
    "lookup, false, FULL",
    "lookup, false, FAILING",
    "lookup, false, UNREACHABLE",
    "lookup, false, LOST",
  })
  void silentRunnerMayGoOnIfTheNextOneFails(String route, boolean started, Failure failure) {
    long exchange = arriveAndFallSilent(route, started);
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    List<GatewayEffect.SendAttempt> sent = only(all, GatewayEffect.SendAttempt.class);
    assertThat(sent).hasSize(2);
    assertThat(sent.get(1).runner().id()).isNotEqualTo(sent.get(0).runner().id());
    node.updateAttempt(exchange, 2, failure.result());
    node.pass(Duration.ofMillis(50));
    all = node.take(GatewayEffect.class);
    assertNotEnded(all);
    assertThat(only(all, GatewayEffect.CancelAttempt.class)).isEmpty();
    node.updateAttempt(exchange, 1, new AttemptResult.Progressed());
    node.updateAttempt(exchange, 1, new AttemptResult.Finished(200));
    node.pass(Duration.ofSeconds(6));
    assertNotEnded(node.take(GatewayEffect.class));
  }

  @ParameterizedTest
  @CsvSource({"chat, true", "chat, false", "lookup, false"})
  void nextRunnerTakesOverAndTheSilentOneIsCancelled(String route, boolean started) {
    long exchange = arriveAndFallSilent(route, started);
    assertThat(node.take(GatewayEffect.CancelAttempt.class)).isEmpty();
    node.updateAttempt(
        exchange,
        2,
        route.equals("chat") ? new AttemptResult.Started() : new AttemptResult.Finished(200));
    assertThat(node.take(GatewayEffect.CancelAttempt.class))
        .containsExactly(new GatewayEffect.CancelAttempt(exchange, 1));
    node.updateAttempt(exchange, 1, new AttemptResult.Broken("cancelled", true, "3", false));
    node.updateAttempt(exchange, 2, new AttemptResult.Finished(200));
    assertNotEnded(node.take(GatewayEffect.class));
  }

  @Test
  void furtherAttemptIsCancelledWhenTheSilentRunnerGoesOn() {
    long exchange = arriveAndFallSilent("chat", true);
    node.take(GatewayEffect.class);
    node.updateAttempt(exchange, 1, new AttemptResult.Prevailed(2));
    assertThat(node.take(GatewayEffect.CancelAttempt.class))
        .containsExactly(new GatewayEffect.CancelAttempt(exchange, 2));
    node.updateAttempt(exchange, 1, new AttemptResult.Finished(200));
    assertNotEnded(node.take(GatewayEffect.class));
  }

  @Test
  void runnerIsNotSilentWhileItsCallerDoesNotRead() {
    long exchange = node.arrive("chat");
    node.updateAttempt(exchange, 1, new AttemptResult.Started());
    node.updateAttempt(exchange, 1, new AttemptResult.Paused());
    node.pass(SILENCE.multipliedBy(2));
    assertThat(node.take(GatewayEffect.SendAttempt.class)).hasSize(1);
    node.updateAttempt(exchange, 1, new AttemptResult.Resumed());
    node.pass(Duration.ofMillis(500));
    assertThat(node.take(GatewayEffect.SendAttempt.class)).isEmpty();
    node.pass(SILENCE);
    assertThat(node.take(GatewayEffect.SendAttempt.class)).hasSize(1);
  }

  /** Progress from before the further attempt does not show which one writes on. */
  @Test
  void progressFromBeforeTheFurtherAttemptCancelsNothing() {
    long exchange = arriveAndFallSilent("chat", true);
    node.take(GatewayEffect.class);
    node.updateAttempt(exchange, 1, new AttemptResult.Progressed());
    node.updateAttempt(exchange, 1, new AttemptResult.Prevailed(1));
    assertThat(node.take(GatewayEffect.CancelAttempt.class)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"chat, true", "chat, false", "lookup, false"})
  void furtherAttemptGoesOnIfTheSilentOneBreaks(String route, boolean started) {
    long exchange = arriveAndFallSilent(route, started);
    node.take(GatewayEffect.class);
    node.updateAttempt(exchange, 1, new AttemptResult.Broken("reset", started, "3", true));
    node.pass(Duration.ofMillis(100));
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    assertNotEnded(all);
    assertThat(only(all, GatewayEffect.SendAttempt.class)).isEmpty();
    assertThat(only(all, GatewayEffect.CancelAttempt.class)).isEmpty();
    node.updateAttempt(exchange, 2, new AttemptResult.Finished(200));
    assertNotEnded(node.take(GatewayEffect.class));
  }

  @ParameterizedTest
  @EnumSource(End.class)
  void bothAttemptsAreCancelledWhenTheirRequestEnds(End end) {
    if (end == End.NODE_END) {
      node.configure(LONG_LIMIT);
    }
    long exchange = end == End.NODE_END ? node.arrive("chat", LONG_LIMIT) : node.arrive("chat");
    node.updateAttempt(exchange, 1, new AttemptResult.Started());
    node.pass(SILENCE);
    node.take(GatewayEffect.class);
    switch (end) {
      case DISCONNECT -> node.handle(new GatewayEvent.CallerDisconnected(exchange));
      case DEADLINE -> node.pass(Duration.ofSeconds(5));
      default -> {
        node.handle(new GatewayEvent.DrainRequested());
        node.pass(Duration.ofSeconds(9));
      }
    }
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    assertThat(only(all, GatewayEffect.CancelAttempt.class))
        .containsExactly(
            new GatewayEffect.CancelAttempt(exchange, 1),
            new GatewayEffect.CancelAttempt(exchange, 2));
    assertThat(only(all, GatewayEffect.AbortAnswer.class)).hasSize(end == End.DISCONNECT ? 0 : 1);
  }

  @Test
  void fullRunnerIsAskedAgainOnlyFewTimes() {
    long exchange = arriveAndFallSilent("chat", true);
    int sent = node.take(GatewayEffect.SendAttempt.class).size();
    for (int attempt = 2; attempt <= 20; attempt++) {
      node.updateAttempt(exchange, attempt, new AttemptResult.Answered(503, true, true));
      node.pass(Duration.ofMillis(100));
      sent += node.take(GatewayEffect.SendAttempt.class).size();
    }
    assertThat(sent).isAtLeast(3);
    assertThat(sent).isAtMost(7);
  }

  @Test
  void runnerThatGoesOnAfterItsSilenceIsNotEjected() {
    int ejections = 0;
    for (int i = 0; i < 20; i++) {
      long exchange = arriveAndFallSilent("chat", true);
      node.updateAttempt(exchange, 2, new AttemptResult.Answered(503, true, true));
      node.updateAttempt(exchange, 1, new AttemptResult.Finished(200));
      ejections +=
          (int)
              node.take(GatewayEffect.LogEvent.class).stream()
                  .filter(log -> log.event().code() == EventCode.RUNNER_EJECTED)
                  .count();
    }
    assertThat(ejections).isEqualTo(0);
  }

  @Test
  void runnerWhoseRequestsAreServedElsewhereIsSoonAvoided() {
    int sentToSilentRunner = 0;
    for (int i = 0; i < 20; i++) {
      long exchange = node.arrive("chat");
      String runner = node.take(GatewayEffect.SendAttempt.class).getFirst().runner().id();
      int attempt = 1;
      if (runner.equals("e1")) {
        sentToSilentRunner++;
        node.pass(SILENCE);
        attempt = 2;
      }
      node.updateAttempt(exchange, attempt, new AttemptResult.Started());
      node.updateAttempt(exchange, attempt, new AttemptResult.Finished(200));
      node.take(GatewayEffect.class);
    }
    assertThat(sentToSilentRunner).isAtLeast(1);
    assertThat(sentToSilentRunner).isAtMost(3);
  }

  @ParameterizedTest
  @CsvSource({"FULL", "FAILING"})
  void stoppingNodeKeepsTheAttemptOfOneSilentRunner(Failure failure) {
    node.handle(new GatewayEvent.DrainRequested());
    node.pass(Duration.ofSeconds(1));
    long exchange = arriveAndFallSilent("chat", true);
    node.updateAttempt(exchange, 2, failure.result());
    node.pass(Duration.ofMillis(300));
    List<GatewayEffect> all = node.take(GatewayEffect.class);
    assertNotEnded(all);
    assertThat(only(all, GatewayEffect.CancelAttempt.class)).isEmpty();
    node.updateAttempt(exchange, 1, new AttemptResult.Finished(200));
    assertNotEnded(node.take(GatewayEffect.class));
  }
}
