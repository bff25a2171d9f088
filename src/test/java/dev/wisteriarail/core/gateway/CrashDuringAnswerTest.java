package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * BUDGET: a request that crashed its runners after the first events of the response was never
 * refused, and the sound requests beside it were.
 */
class CrashDuringAnswerTest {

  private static final long DEADLY = -1;
  private static final long SHARED_SOUND = -2;
  private static final int CALLERS = 4;
  private static final Duration BETWEEN_CRASHES = Duration.ofSeconds(4);
  private static final AttemptResult LOST_BEFORE =
      new AttemptResult.Broken("reset", false, "", true);
  private static final AttemptResult LOST_AFTER =
      new AttemptResult.Broken("reset", true, "1", true);

  private final CoreHarness node = CoreHarness.ready();
  private int crashes;

  /** Returns the newest attempt that was sent of a request, or 0 if none was. */
  private int sentAttempt(long exchange) {
    return node.take(GatewayEffect.SendAttempt.class).stream()
        .filter(send -> send.exchange() == exchange)
        .mapToInt(GatewayEffect.SendAttempt::attempt)
        .max()
        .orElse(0);
  }

  private void begin(long exchange, int attempt, int events) {
    for (int i = 0; i < events; i++) {
      node.updateAttempt(
          exchange, attempt, i == 0 ? new AttemptResult.Started() : new AttemptResult.Progressed());
    }
  }

  private void answer(long exchange, int attempt) {
    begin(exchange, attempt, 1);
    node.updateAttempt(exchange, attempt, new AttemptResult.Finished(200));
  }

  /** Returns whether a request is served with a whole response. */
  private boolean isServed(String route, long content, List<String> parts) {
    long exchange = node.arrive(route, content, parts);
    int attempt = sentAttempt(exchange);
    if (attempt > 0) {
      answer(exchange, attempt);
    }
    return attempt > 0;
  }

  /** Sends a request that crashes each runner that gets it after some events. */
  private void crash(String route, long content, List<String> parts, int events) {
    long exchange = node.arrive(route, content, parts);
    passServing(exchange, events);
  }

  /**
   * Lets time pass in which all requests that are sent get whole responses, except for one that
   * crashes its runners.
   */
  private void passServing(long deadly, int events) {
    for (int i = 0; i < BETWEEN_CRASHES.toMillis(); i += 50) {
      for (GatewayEffect.SendAttempt send : node.take(GatewayEffect.SendAttempt.class)) {
        if (send.exchange() == deadly) {
          crashes++;
          begin(deadly, send.attempt(), events);
          node.updateAttempt(deadly, send.attempt(), events > 0 ? LOST_AFTER : LOST_BEFORE);
        } else {
          answer(send.exchange(), send.attempt());
        }
      }
      node.pass(Duration.ofMillis(50));
    }
    node.take(GatewayEffect.class);
  }

  private List<ResultCode> refusalsOf(String route, long content, List<String> parts) {
    node.take(GatewayEffect.class);
    node.arrive(route, content, parts);
    return node.take(GatewayEffect.Refuse.class).stream().map(GatewayEffect.Refuse::code).toList();
  }

  /** The culprit must be found whenever in its response the runner crashes. */
  @ParameterizedTest
  @CsvSource({"report, 0", "report, 1", "report, 7", "lookup, 0"})
  void contentIsRefusedAfterThreeCrashesAtAnyPointOfTheResponse(String route, int events) {
    while (crashes < 3) {
      crash(route, DEADLY, List.of(), events);
    }
    assertThat(refusalsOf(route, DEADLY, List.of())).containsExactly(ResultCode.CRASHING_REQUEST);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 7})
  void partIsRefusedAfterCrashesAtAnyPointOfTheResponse(int events) {
    for (int i = 0; i < 3; i++) {
      crash("report", 100 + i, List.of("shared", "deadly", "own-" + i), events);
    }
    assertThat(refusalsOf("report", 200, List.of("shared", "deadly", "own-9")))
        .containsExactly(ResultCode.CRASHING_REQUEST);
  }

  /** A stream that is resumed at another runner crashes that one, too, without a first event. */
  @Test
  void contentOfResumedStreamsIsRefused() {
    for (int i = 0; i < 2; i++) {
      crash("chat", DEADLY, List.of(), 1);
    }
    assertThat(refusalsOf("chat", DEADLY, List.of())).containsExactly(ResultCode.CRASHING_REQUEST);
  }

  /** The stream that was cut at the third crash must not be resumed at a fourth runner. */
  @Test
  void streamIsNotResumedOnceItsContentIsRefused() {
    crash("chat", DEADLY, List.of(), 1);
    final long last = node.arrive("chat", DEADLY);
    int attempt = sentAttempt(last);
    begin(last, attempt, 1);
    node.updateAttempt(last, attempt, LOST_AFTER);
    node.pass(BETWEEN_CRASHES);
    List<GatewayEffect> effects = node.take(GatewayEffect.class);
    assertThat(effects.stream().filter(GatewayEffect.SendAttempt.class::isInstance).toList())
        .isEmpty();
    assertThat(effects.stream().filter(GatewayEffect.AbortAnswer.class::isInstance).toList())
        .hasSize(1);
  }

  /** When sound requests that are in flight at each crash have received responses. */
  enum Soundness {
    BEFORE_THE_CRASHES,
    BETWEEN_THE_CRASHES
  }

  /**
   * All streams of a crashed runner are cut at once, so a sound prompt that many callers repeat is
   * in flight at each of the crashes. It must be served all the time, and the culprit refused.
   */
  @ParameterizedTest
  @EnumSource(Soundness.class)
  void soundContentInFlightAtEachCrashIsServed(Soundness soundness) {
    List<String> shared = List.of("shared", "own");
    if (soundness == Soundness.BEFORE_THE_CRASHES) {
      assertThat(isServed("report", SHARED_SOUND, shared)).isTrue();
    }
    for (int i = 0; i < 6; i++) {
      for (int caller = 0; caller < CALLERS; caller++) {
        node.arrive("report", SHARED_SOUND, shared);
      }
      final long deadly = node.arrive("report", DEADLY, List.of("shared", "deadly-own"));
      List<GatewayEffect.SendAttempt> sent = node.take(GatewayEffect.SendAttempt.class);
      if (sent.stream().anyMatch(send -> send.exchange() == deadly)) {
        for (GatewayEffect.SendAttempt send : sent) {
          boolean begun = send.exchange() == deadly || send.exchange() % 2 == 0;
          begin(send.exchange(), send.attempt(), begun ? 1 : 0);
          node.updateAttempt(send.exchange(), send.attempt(), begun ? LOST_AFTER : LOST_BEFORE);
        }
      } else {
        sent.forEach(send -> answer(send.exchange(), send.attempt()));
      }
      passServing(deadly, 1);
      assertThat(isServed("report", SHARED_SOUND, shared)).isTrue();
    }
    assertThat(refusalsOf("report", DEADLY, List.of("shared", "deadly-own")))
        .containsExactly(ResultCode.CRASHING_REQUEST);
    assertThat(isServed("report", SHARED_SOUND, shared)).isTrue();
  }

  /** Six crashes of another cause must not refuse a page that its runners answer all the time. */
  @Test
  void pageThatIsAnsweredBetweenCrashesOfAnotherCauseIsServed() {
    for (int i = 0; i < 6; i++) {
      assertThat(isServed("lookup", SHARED_SOUND, List.of())).isTrue();
      crash("lookup", SHARED_SOUND, List.of(), 0);
    }
    assertThat(isServed("lookup", SHARED_SOUND, List.of())).isTrue();
  }

  /** A first event shows nothing, so a second suspect waits while the first one may crash yet. */
  @Test
  void suspectIsNotSentBesideOneWhoseResponseHasJustBegun() {
    crash("report", DEADLY, List.of(), 1);
    long first = node.arrive("report", DEADLY);
    int attempt = sentAttempt(first);
    assertThat(attempt).isEqualTo(1);
    node.updateAttempt(first, attempt, new AttemptResult.Started());
    long second = node.arrive("report", DEADLY);
    assertThat(sentAttempt(second)).isEqualTo(0);
    node.updateAttempt(first, attempt, new AttemptResult.Finished(200));
    assertThat(sentAttempt(second)).isEqualTo(1);
  }
}
