package dev.wisteriarail.core.forward;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.fleet.RunnerRun;
import dev.wisteriarail.core.route.RouteKind;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.route.ServiceShare;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the forwarding rules for a single request. */
class ForwardRulesTest {

  private static final Instant START = Instant.EPOCH;

  static RouteSpec route(RouteKind kind, boolean resumable) {
    return new RouteSpec(
        "r",
        "h",
        "/p/",
        kind,
        Duration.ofSeconds(12),
        Duration.ofMillis(400),
        1,
        List.of(new ServiceShare("s", 1)),
        2,
        true,
        resumable,
        Duration.ofMillis(250),
        false);
  }

  @ParameterizedTest
  @CsvSource({"400, 250, 2000", "2500, 250, 10000", "500, 300, 2400", "5000, 100, 12000"})
  void callersOfStreamsLeaveAfterTheLongestOfThreeTimes(long objective, long gap, long expected) {
    RouteSpec route =
        new RouteSpec(
            "r",
            "h",
            "/p/",
            RouteKind.STREAMING,
            Duration.ofSeconds(12),
            Duration.ofMillis(objective),
            1,
            List.of(new ServiceShare("s", 1)),
            1,
            true,
            false,
            Duration.ofMillis(gap),
            false);
    assertThat(route.firstByteTimeout()).isEqualTo(Duration.ofMillis(expected));
  }

  // Waiting

  @ParameterizedTest
  @CsvSource({"2000, 1000, wait", "2000, 1900, refuse", "2000, 9000, refuse", "150, 0, refuse"})
  void requestWaitsOnlyWhileItsStartCanComeInTime(long left, long startsIn, String expected) {
    WaitRule.Decision verdict =
        WaitRule.decide(Duration.ofMillis(left), Optional.of(Duration.ofMillis(startsIn)));
    assertThat(verdict instanceof WaitRule.Decision.Wait).isEqualTo(expected.equals("wait"));
    if (verdict instanceof WaitRule.Decision.Refuse refuse && startsIn > left) {
      assertThat(refuse.retryAfter()).isEqualTo(Duration.ofMillis(startsIn));
    }
  }

  // Retries

  @Test
  void retriesOfAllNodesStayWithinTheBudgetWhenEveryRequestFails() {
    int nodes = 9;
    List<RetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      budgets.add(RetryBudget.create(new RetryLimits(Duration.ofSeconds(10), 0.2, 58)));
    }
    int requests = 0;
    int retries = 0;
    for (int millis = 0; millis < 10_000; millis += 10) {
      RetryBudget budget = budgets.get(millis / 10 % nodes);
      Instant now = START.plusMillis(millis);
      budget.countRequest(now);
      requests++;
      retries += budget.tryAcquire(nodes, now) ? 1 : 0;
    }
    assertThat(retries).isAtMost((int) (0.2 * requests + 58));
    assertThat(retries).isAtLeast((int) (0.4 * 0.2 * requests));
  }

  @Test
  void budgetIsFreeAgainAfterItsWindow() {
    RetryBudget budget = RetryBudget.create(new RetryLimits(Duration.ofSeconds(10), 0, 5));
    while (budget.tryAcquire(1, START)) {
      // Uses up the budget.
    }
    assertThat(budget.tryAcquire(1, START.plusSeconds(9))).isFalse();
    assertThat(budget.tryAcquire(1, START.plusSeconds(11))).isTrue();
  }

  // Failing runners

  @Test
  void runnerThatFailsAlmostHalfOfItsRequestsIsEjectedAndProbedByOneRequest() {
    RunnerHealth health = RunnerHealth.create();
    Instant now = START;
    boolean ejected = false;
    for (int i = 0; i < 60 && !ejected; i++) {
      now = now.plusMillis(50);
      health.recordSend();
      if (i % 9 < 4) {
        ejected = health.recordFailure(false, now);
      } else {
        health.recordSuccess();
      }
    }
    assertThat(ejected).isTrue();
    assertThat(health.isAvailable(now)).isFalse();
    Instant later = now.plusSeconds(1);
    assertThat(health.isAvailable(later)).isTrue();
    health.recordSend();
    assertThat(health.isAvailable(later)).isFalse();
    health.recordSuccess();
    assertThat(health.isAvailable(later)).isTrue();
  }

  @Test
  void runnerWithRareFailuresIsNotEjected() {
    RunnerHealth health = RunnerHealth.create();
    for (int i = 0; i < 200; i++) {
      health.recordSend();
      if (i % 7 == 0) {
        assertThat(health.recordFailure(false, START.plusMillis(i))).isFalse();
      } else {
        health.recordSuccess();
      }
    }
  }

  @Test
  void silentRunnerIsLessPreferredUntilItGoesOnAndNotEjected() {
    RunnerHealth health = RunnerHealth.create();
    for (int i = 0; i < 60; i++) {
      health.recordSilence();
      assertThat(health.isAvailable(START)).isTrue();
      assertThat(health.failureRate()).isGreaterThan(0.1);
    }
    health.recordProgress();
    assertThat(health.failureRate()).isEqualTo(0.0);
  }

  @ParameterizedTest
  @CsvSource({
    "STREAMING, true, false, 900, 4, true",
    "STREAMING, true, false, 700, 4, false",
    "STREAMING, true, false, 5000, 30, false",
    "STREAMING, true, true, 800, 30, true",
    "STREAMING, false, true, 9000, 4, false",
    "NON_IDEMPOTENT, false, false, 9000, 4, false",
  })
  void silentRunnerIsGivenUpWhereTheRequestMayRunAgain(
      RouteKind kind,
      boolean resumable,
      boolean answerStarted,
      long silence,
      int running,
      boolean stalled) {
    assertThat(
            StallRule.isStalled(
                route(kind, resumable), answerStarted, Duration.ofMillis(silence), running, 32))
        .isEqualTo(stalled);
  }

  @Test
  void requestThatCrashedThreeRunnersIsRefusedForOneWhile() {
    CrashHistory history = CrashHistory.create();
    recordCrash(history, 7, "e1", START);
    recordCrash(history, 7, "e2", START.plusSeconds(1));
    assertThat(isRefused(history, 7, START.plusSeconds(2))).isFalse();
    recordCrash(history, 7, "e3", START.plusSeconds(2));
    assertThat(isRefused(history, 7, START.plusSeconds(3))).isTrue();
    assertThat(isRefused(history, 8, START.plusSeconds(3))).isFalse();
    assertThat(isRefused(history, 7, START.plusSeconds(400))).isFalse();
  }

  private static void recordCrash(
      CrashHistory history, long fingerprint, String runner, Instant now) {
    RunnerLoss loss = new RunnerLoss(new RunnerRun(runner, 1), 0);
    List<RequestTrait> traits = List.of(RequestTrait.ofContent(fingerprint));
    history.recordCrash(new CrashReport(loss, 50, traits), now);
  }

  private static boolean isRefused(CrashHistory history, long fingerprint, Instant now) {
    return history
        .refusal(List.of(RequestTrait.ofContent(fingerprint)), Duration.ZERO, now)
        .isPresent();
  }

  // Selection

  @Test
  void burstOfOneModelIsSpreadOverItsRunners() {
    Map<String, Integer> running = new HashMap<>(Map.of("a", 0, "b", 0, "c", 0));
    for (int i = 0; i < 60; i++) {
      List<RunnerScoring.Candidate> candidates = new ArrayList<>();
      running.forEach(
          (runner, count) ->
              candidates.add(
                  new RunnerScoring.Candidate(runner, count, 32, runner.equals("a"), false, 0)));
      String chosen = RunnerScoring.best(candidates, i * 77L).orElseThrow().runner();
      running.merge(chosen, 1, Integer::sum);
    }
    running.values().forEach(count -> assertThat(count).isIn(List.of(19, 20, 21)));
  }

  @Test
  void fullRunnersGetNothing() {
    assertThat(
            RunnerScoring.best(List.of(new RunnerScoring.Candidate("a", 32, 32, true, true, 0)), 1))
        .isEqualTo(Optional.empty());
  }

  // Streams

  @ParameterizedTest
  @CsvSource({"1", "2", "3", "7", "1000"})
  void onlyWholeEventsArePassedOnHoweverTheBytesCome(int step) {
    byte[] stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda".getBytes(UTF_8);
    EventAssembler events = EventAssembler.create();
    StringBuilder relayed = new StringBuilder();
    for (int from = 0; from < stream.length; from += step) {
      int to = Math.min(stream.length, from + step);
      relayed.append(new String(events.accept(Arrays.copyOfRange(stream, from, to)), UTF_8));
    }
    assertThat(relayed.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    assertThat(events.lastEvent()).isEqualTo("2");
    assertThat(events.hasPartial()).isTrue();
  }

  @Test
  void eventsThatTheCallerHasAreDroppedAfterAnotherAttempt() {
    EventAssembler earlier = EventAssembler.create();
    earlier.accept("id: 1\n\nid: 2\n\nid: 3\nda".getBytes(UTF_8));
    EventAssembler events = EventAssembler.after(earlier.lastEvent());
    byte[] relayed = events.accept("id: 2\n\nid: 3\n\n".getBytes(UTF_8));
    assertThat(new String(relayed, UTF_8)).isEqualTo("id: 3\n\n");
    assertThat(events.hasGap()).isFalse();
    events.accept("id: 5\n\n".getBytes(UTF_8));
    assertThat(events.hasGap()).isTrue();
  }

  @Test
  void changedLimitsOfRetriesCountAtOnce() {
    RetryBudget budget = RetryBudget.create(new RetryLimits(Duration.ofSeconds(10), 0, 10));
    Instant now = Instant.EPOCH;
    assertThat(budget.tryAcquire(1, now)).isTrue();
    budget.setLimits(new RetryLimits(Duration.ofSeconds(10), 0, 0));
    assertThat(budget.tryAcquire(1, now)).isFalse();
  }
}
