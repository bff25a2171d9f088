package dev.wisteriarail.core.request;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.core.result.Execution;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Non-repeatable requests run at most once, and a request that is refused as "not run" has not run.
 */
class AtMostOnceTest {

  private static final RequestId FIRST = RequestId.of("q1");
  private static final RequestId SECOND = RequestId.of("q2");
  private static final Duration SHORT = Duration.ofMillis(100);
  private static final Duration LONG = Requests.DEADLINE.plusSeconds(1);

  private final RequestFleet fleet = Requests.fleet(3);

  @Test
  void intentIsReadBackBeforeDispatch() {
    fleet.paused.add(RequestFleet.node(2));
    fleet.feed(RequestFleet.node(2), new Event.RequestArrived(Requests.order("q1", "k")));
    fleet.settle();
    assertThat(fleet.intentAppends()).isEqualTo(1);
    assertThat(fleet.dispatches).isEmpty();
    fleet.paused.clear();
    fleet.settle();
    assertThat(fleet.dispatches).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource(
      value = RequestFleet.LogFault.class,
      names = {"NONE", "ANSWER_LOST"})
  void sameKeyAtTwoNodesRunsOnceAndBothGetTheAnswer(RequestFleet.LogFault fault) {
    fleet.fault = fault;
    fleet.feed(RequestFleet.node(1), new Event.RequestArrived(Requests.order("q1", "k")));
    fleet.feed(RequestFleet.node(2), new Event.RequestArrived(Requests.order("q2", "k")));
    fleet.advance(Duration.ofSeconds(2));
    assertThat(fleet.dispatches).hasSize(1);
    fleet.answer(fleet.dispatches.getFirst(), "sent", 201);
    fleet.advance(Duration.ofSeconds(2));
    assertThat(fleet.dispatches).hasSize(1);
    for (RequestId request : List.of(FIRST, SECOND)) {
      assertThat(fleet.endings(request)).containsExactly(new RequestOutcome.Completed(201));
      assertThat(fleet.answered(request)).isEqualTo("sent");
    }
  }

  @Test
  void finishedKeyGetsTheStoredAnswerAtAnyNodeAlsoWhileTheLogIsDown() {
    fleet.send(1, Requests.order("q1", "k"));
    fleet.answer(fleet.dispatches.getFirst(), "sent", 201);
    fleet.advance(Duration.ofSeconds(1));
    fleet.logDown = true;
    fleet.advance(Duration.ofSeconds(2));
    fleet.send(3, Requests.order("q2", "k"));
    assertThat(fleet.answered(SECOND)).isEqualTo("sent");
    assertThat(fleet.dispatches).hasSize(1);
  }

  @Test
  void changedBodyUnderTheSameKeyIsRefused() {
    fleet.send(1, Requests.order("q1", "c1", "k", "{\"phone\":7}"));
    fleet.send(2, Requests.order("q2", "c1", "k", "{\"phone\":8}"));
    assertRefused(SECOND, ResultCode.IDEMPOTENCY_KEY_REUSED, Execution.NOT_RUN);
    assertThat(fleet.dispatches).hasSize(1);
  }

  @Test
  void sameKeyOfTwoCustomersIsTwoKeys() {
    fleet.send(1, Requests.order("q1", "c1", "k", "{}"));
    fleet.send(2, Requests.order("q2", "c2", "k", "{}"));
    fleet.advance(SHORT);
    assertThat(fleet.dispatches).hasSize(2);
  }

  @Test
  void ownerDiesAfterItsIntentWasRecorded() {
    fleet.paused.add(RequestFleet.node(2));
    fleet.feed(RequestFleet.node(2), new Event.RequestArrived(Requests.order("q1", "k")));
    fleet.settle();
    retryAfterSecondNodeDies();
  }

  @Test
  void ownerDiesAfterDispatch() {
    fleet.send(2, Requests.order("q1", "k"));
    assertThat(fleet.dispatches).hasSize(1);
    retryAfterSecondNodeDies();
    assertThat(fleet.dispatches).hasSize(1);
  }

  private void retryAfterSecondNodeDies() {
    fleet.kill(2);
    final int before = fleet.dispatches.size();
    fleet.send(3, Requests.order("q2", "k"));
    assertThat(fleet.ending(SECOND)).isEmpty();
    fleet.feed(
        RequestFleet.node(3),
        new Event.PeerReceived(
            RequestFleet.node(2), Incarnation.of(2), new PeerMessage.IntentsOffered(List.of())));
    assertRefused(SECOND, ResultCode.OUTCOME_UNKNOWN, Execution.MAY_HAVE_RUN);
    assertThat(fleet.dispatches).hasSize(before);
  }

  @Test
  void ownerDiesAfterItsAnswerWasRecorded() {
    fleet.send(2, Requests.order("q1", "k"));
    fleet.answer(fleet.dispatches.getFirst(), "sent", 201);
    fleet.advance(SHORT);
    fleet.kill(2);
    fleet.send(3, Requests.order("q2", "k"));
    assertThat(fleet.answered(SECOND)).isEqualTo("sent");
  }

  @Test
  void pausedOwnerKeepsItsKeyAndDoesNotRunAfterItsDeadline() {
    fleet.paused.add(RequestFleet.node(2));
    fleet.feed(RequestFleet.node(2), new Event.RequestArrived(Requests.order("q1", "k")));
    fleet.send(3, Requests.order("q2", "k"));
    fleet.advance(LONG);
    assertRefused(SECOND, ResultCode.OUTCOME_UNKNOWN, Execution.MAY_HAVE_RUN);
    fleet.paused.clear();
    fleet.advance(Duration.ofSeconds(1));
    assertRefused(FIRST, ResultCode.DEADLINE_PASSED, Execution.NOT_RUN);
    assertThat(fleet.dispatches).isEmpty();
    fleet.send(1, Requests.order("q3", "k"));
    assertThat(fleet.dispatches).hasSize(1);
  }

  @Test
  void recordThatAppearsAfterItsRequestWasRefusedNeitherRunsNorBlocks() {
    fleet.fault = RequestFleet.LogFault.REFUSED_BUT_LATE;
    fleet.send(1, Requests.order("q1", "k"));
    fleet.advance(Duration.ofSeconds(2));
    assertRefused(FIRST, ResultCode.LOG_UNAVAILABLE, Execution.NOT_RUN);
    fleet.fault = RequestFleet.LogFault.NONE;
    fleet.releaseLateRecords();
    fleet.advance(Duration.ofSeconds(2));
    assertThat(fleet.dispatches).isEmpty();
    fleet.send(2, Requests.order("q2", "k"));
    fleet.advance(Duration.ofSeconds(1));
    assertThat(fleet.dispatches).hasSize(1);
    assertThat(fleet.dispatches.getFirst().request().id()).isEqualTo(SECOND);
  }

  @Test
  void retryThatMeetsTheLateRecordRunsOnceItIsReleased() {
    fleet.fault = RequestFleet.LogFault.REFUSED_BUT_LATE;
    fleet.send(1, Requests.order("q1", "k"));
    fleet.advance(Duration.ofSeconds(2));
    fleet.fault = RequestFleet.LogFault.NONE;
    fleet.paused.add(RequestFleet.node(1));
    fleet.releaseLateRecords();
    fleet.send(2, Requests.order("q2", "k"));
    assertThat(fleet.dispatches).isEmpty();
    fleet.paused.clear();
    fleet.advance(Duration.ofSeconds(1));
    assertThat(fleet.dispatches).hasSize(1);
  }

  @Test
  void downLogRefusesAtOnceUnlessTheServiceDeduplicates() {
    fleet.logDown = true;
    fleet.advance(Duration.ofSeconds(2));
    fleet.send(1, Requests.order("q1", "k"));
    assertRefused(FIRST, ResultCode.LOG_UNAVAILABLE, Execution.NOT_RUN);
    Optional<String> key = Optional.of("k");
    fleet.send(2, Requests.request("q2", "c1", "dispatch", "deduplicating", key, "{}"));
    assertThat(fleet.dispatches).hasSize(1);
  }

  @Test
  void requestWithoutKeyIsRefused() {
    fleet.send(1, Requests.request("q1", "c1", "dispatch", "crew", Optional.empty(), "{}"));
    assertRefused(FIRST, ResultCode.IDEMPOTENCY_KEY_MISSING, Execution.NOT_RUN);
  }

  @Test
  void brokenAnswerIsUnknownEverywhereAtOnce() {
    fleet.send(1, Requests.order("q1", "k"));
    fleet.end(fleet.dispatches.getFirst(), new AttemptOutcome.Broken("reset", true));
    fleet.advance(Duration.ofMillis(100));
    fleet.send(2, Requests.order("q2", "k"));
    assertRefused(FIRST, ResultCode.OUTCOME_UNKNOWN, Execution.MAY_HAVE_RUN);
    assertRefused(SECOND, ResultCode.OUTCOME_UNKNOWN, Execution.MAY_HAVE_RUN);
    assertThat(fleet.dispatches).hasSize(1);
  }

  @Test
  void rejectionByTheBackendServerIsNotCalledNotRun() {
    fleet.send(1, Requests.order("q1", "k"));
    fleet.end(fleet.dispatches.getFirst(), new AttemptOutcome.Rejected("busy"));
    assertRefused(FIRST, ResultCode.OUTCOME_UNKNOWN, Execution.MAY_HAVE_RUN);
  }

  @Test
  void requestOfWhichNoByteWasHandedOverIsDispatchedAgain() {
    fleet.send(1, Requests.order("q1", "k"));
    fleet.end(fleet.dispatches.getFirst(), new AttemptOutcome.NotHandedOver("refused"));
    fleet.advance(Duration.ofSeconds(1));
    assertThat(fleet.dispatches).hasSize(2);
  }

  @Test
  void callerThatLeavesDoesNotStopItsDispatchedRequest() {
    fleet.send(1, Requests.order("q1", "k"));
    fleet.feed(RequestFleet.node(1), new Event.CallerLeft(FIRST));
    assertThat(effects(1, Effect.CancelAttempt.class)).isEmpty();
    fleet.answer(fleet.dispatches.getFirst(), "sent", 201);
    fleet.advance(SHORT);
    fleet.send(2, Requests.order("q2", "k"));
    assertThat(fleet.answered(SECOND)).isEqualTo("sent");
    assertThat(fleet.endings(FIRST)).isEmpty();
  }

  @Test
  void drainWaitsUntilTheAnswerIsRecorded() {
    fleet.send(2, Requests.order("q1", "k"));
    fleet.feed(RequestFleet.node(2), new Event.DrainRequested());
    fleet.fault = RequestFleet.LogFault.REFUSED;
    fleet.answer(fleet.dispatches.getFirst(), "sent", 201);
    assertThat(effects(2, Effect.DrainCompleted.class)).isEmpty();
    fleet.fault = RequestFleet.LogFault.NONE;
    fleet.advance(Duration.ofSeconds(5));
    assertThat(effects(2, Effect.DrainCompleted.class)).hasSize(1);
  }

  @Test
  void burstIsAppendedInFewRecords() {
    for (int i = 0; i < 300; i++) {
      fleet.feed(
          RequestFleet.node(1 + i % 3), new Event.RequestArrived(Requests.order("q" + i, "k" + i)));
    }
    fleet.advance(Duration.ofMillis(100));
    assertThat(fleet.intentAppends()).isAtMost(5L);
    assertThat(fleet.dispatches).isNotEmpty();
  }

  // Helpers

  private <T extends Effect> List<T> effects(int node, Class<T> type) {
    return fleet.effects.get(RequestFleet.node(node)).stream()
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  private void assertRefused(RequestId request, ResultCode code, Execution execution) {
    assertThat(fleet.endings(request)).hasSize(1);
    Refusal refusal = ((RequestOutcome.Refused) fleet.endings(request).getFirst()).refusal();
    assertThat(refusal.code()).isEqualTo(code);
    assertThat(refusal.execution()).isEqualTo(execution);
  }
}
