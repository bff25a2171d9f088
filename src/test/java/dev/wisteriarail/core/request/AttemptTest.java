package dev.wisteriarail.core.request;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.result.Execution;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streamed answers, retries and their limits. */
class AttemptTest {

  private static final Duration SHORT = Duration.ofSeconds(1);
  private static final Duration LONG_DEADLINE = PendingRequest.STALL_LIMIT.multipliedBy(4);

  private final TableFixture fixture = TableFixture.create();

  @Test
  void brokenAttemptIsTriedOnAnotherServerAndNeverAgainOnTheSame() {
    fixture.send("q1", "c1", "urgent");
    fixture.crash(fixture.lastDispatch().attempt());
    fixture.advance(SHORT);
    assertThat(fixture.dispatches()).hasSize(2);
    assertThat(fixture.dispatches().get(1).runner())
        .isNotEqualTo(fixture.dispatches().get(0).runner());
    fixture.end(fixture.lastDispatch().attempt(), new AttemptOutcome.Broken("cut", false));
    fixture.advance(TableFixture.DEADLINE);
    assertThat(fixture.dispatches()).hasSize(2);
    assertRefused("q1", ResultCode.DEADLINE_PASSED, Execution.MAY_HAVE_RUN);
  }

  @Test
  void restartedServerMayBeTriedAgain() {
    fixture.send("q1", "c1", "urgent");
    fixture.end(fixture.lastDispatch().attempt(), new AttemptOutcome.Broken("cut", false));
    fixture.advance(SHORT);
    fixture.end(fixture.lastDispatch().attempt(), new AttemptOutcome.Broken("cut", false));
    fixture.report("app1", 2);
    fixture.advance(SHORT);
    assertThat(fixture.dispatches()).hasSize(3);
    assertThat(fixture.lastDispatch().runner().value()).isEqualTo("app1");
  }

  @Test
  void requestOfWhichNoByteWasHandedOverIsNotRunAtItsDeadline() {
    fixture.send("q1", "c1", "urgent");
    for (int i = 0; i < 100; i++) {
      fixture.end(fixture.lastDispatch().attempt(), new AttemptOutcome.NotHandedOver("refused"));
      fixture.advance(Duration.ofMillis(150));
    }
    assertRefused("q1", ResultCode.DEADLINE_PASSED, Execution.NOT_RUN);
  }

  @Test
  void retriesOfCustomerAreBudgeted() {
    for (int i = 0; i < 200; i++) {
      int before = fixture.dispatches().size();
      fixture.send(TableFixture.service("q" + i, "c1", "urgent", "{\"n\":" + i + "}"));
      while (fixture.dispatches().size() > before) {
        before = fixture.dispatches().size();
        AttemptId attempt = fixture.lastDispatch().attempt();
        fixture.end(attempt, new AttemptOutcome.Broken("cut", false));
        fixture.advance(Duration.ofMillis(100));
      }
    }
    assertThat(fixture.dispatches().size()).isAtMost(200 + 10 + 20);
  }

  @Test
  void pieceOfSupersededAttemptIsDropped() {
    fixture.send("q1", "c1", "urgent");
    AttemptId first = fixture.lastDispatch().attempt();
    fixture.end(first, new AttemptOutcome.Broken("cut", false));
    fixture.advance(SHORT);
    fixture.progress(first, 0, "late");
    fixture.progress(fixture.lastDispatch().attempt(), 0, "right");
    fixture.progress(fixture.lastDispatch().attempt(), 0, "right");
    assertThat(texts()).containsExactly("right");
  }

  @Test
  void streamResumesOnTheSameEngineFromItsPosition() {
    AttemptId first = startStream();
    fixture.progress(first, 0, "a");
    fixture.progress(first, 1, "b");
    fixture.end(first, new AttemptOutcome.Broken("connection closed", false));
    Effect.Dispatch resumed = fixture.lastDispatch();
    assertThat(resumed.attempt()).isNotEqualTo(first);
    assertThat(resumed.resumeFrom()).isEqualTo(2);
    assertThat(resumed.replica()).isEqualTo(fixture.dispatches().getFirst().replica());
    fixture.progress(resumed.attempt(), 2, "c");
    fixture.complete(resumed.attempt());
    assertThat(texts()).containsExactly("a", "b", "c").inOrder();
    assertThat(fixture.refusal("q1")).isEqualTo(Optional.empty());
  }

  @Test
  void missingPieceIsFetchedAgain() {
    AttemptId first = startStream();
    fixture.progress(first, 0, "a");
    fixture.progress(first, 2, "c");
    assertThat(fixture.effectsOfType(Effect.CancelAttempt.class)).hasSize(1);
    assertThat(fixture.lastDispatch().resumeFrom()).isEqualTo(1);
    fixture.complete(first);
    assertThat(fixture.effectsOfType(Effect.EndRequest.class)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void streamThatCannotBeResumedIsCutAndNeverGoesOnElsewhere(boolean rejectedByBackend) {
    fixture.report("r2", 1, TableFixture.ready("c1", "replica2"));
    AttemptId first = startStream();
    fixture.progress(first, 0, "a");
    for (int i = 0; i < 3; i++) {
      AttemptId attempt = fixture.lastDispatch().attempt();
      fixture.end(
          attempt,
          rejectedByBackend
              ? new AttemptOutcome.Rejected("busy")
              : new AttemptOutcome.NotHandedOver("refused"));
    }
    fixture.advance(TableFixture.DEADLINE.multipliedBy(4));
    assertThat(fixture.dispatches().stream().map(Effect.Dispatch::replica).distinct().toList())
        .hasSize(1);
    assertRefused("q1", ResultCode.ANSWER_INCOMPLETE, Execution.MAY_HAVE_RUN);
    assertThat(fixture.table.nextWakeUp()).isEqualTo(Optional.empty());
  }

  @Test
  void streamOfLostEngineIsVisiblyIncomplete() {
    AttemptId first = startStream();
    fixture.progress(first, 0, "a");
    fixture.crash(first);
    assertRefused("q1", ResultCode.ANSWER_INCOMPLETE, Execution.MAY_HAVE_RUN);
  }

  @Test
  void streamThatGetsStuckIsResumedAndInTheEndCut() {
    AttemptId first = startStream();
    fixture.progress(first, 0, "a");
    fixture.advance(PendingRequest.STALL_LIMIT.multipliedBy(4));
    assertThat(fixture.dispatches()).hasSize(3);
    assertRefused("q1", ResultCode.ANSWER_INCOMPLETE, Execution.MAY_HAVE_RUN);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void silentStreamIsNeitherCutNorResumedBeforeItsDeadline(boolean resumedBefore) {
    AttemptId attempt = startStream(LONG_DEADLINE);
    fixture.progress(attempt, 0, "a");
    if (resumedBefore) {
      fixture.end(attempt, new AttemptOutcome.Broken("connection closed", false));
      attempt = fixture.lastDispatch().attempt();
    }
    final int dispatches = fixture.dispatches().size();
    fixture.advance(PendingRequest.STALL_LIMIT.plus(SHORT));
    fixture.progress(attempt, 1, "b");
    fixture.advance(PendingRequest.STALL_LIMIT.plus(SHORT));
    fixture.complete(attempt);
    assertThat(fixture.dispatches()).hasSize(dispatches);
    assertThat(fixture.effectsOfType(Effect.CancelAttempt.class)).isEmpty();
    assertThat(texts()).containsExactly("a", "b").inOrder();
    assertThat(fixture.refusal("q1")).isEqualTo(Optional.empty());
  }

  @Test
  void streamThatIsSilentForGoodIsEndedFromItsDeadlineOn() {
    AttemptId first = startStream(LONG_DEADLINE);
    fixture.progress(first, 0, "a");
    fixture.advance(LONG_DEADLINE);
    assertThat(fixture.effectsOfType(Effect.CancelAttempt.class)).hasSize(1);
    fixture.advance(PendingRequest.STALL_LIMIT.multipliedBy(3));
    assertRefused("q1", ResultCode.ANSWER_INCOMPLETE, Execution.MAY_HAVE_RUN);
    assertThat(fixture.table.nextWakeUp()).isEqualTo(Optional.empty());
  }

  @Test
  void callerThatLeavesFreesTheSlot() {
    for (int i = 0; i < 20; i++) {
      fixture.send("q" + i, "c1", "urgent");
    }
    int running = fixture.dispatches().size();
    disconnect("q0");
    assertThat(fixture.effectsOfType(Effect.CancelAttempt.class)).hasSize(1);
    assertThat(fixture.dispatches()).hasSize(running + 1);
  }

  @Test
  void answerThatDoesNotStartInTimeIsRefusedAndCancelled() {
    fixture.send("q1", "c1", "urgent");
    fixture.advance(TableFixture.DEADLINE);
    assertRefused("q1", ResultCode.DEADLINE_PASSED, Execution.MAY_HAVE_RUN);
    assertThat(fixture.effectsOfType(Effect.CancelAttempt.class)).hasSize(1);
  }

  // Helpers

  private AttemptId startStream() {
    fixture.report("r1", 1, TableFixture.ready("c1", "replica1"));
    fixture.send(TableFixture.model("q1", "c1", "urgent", null));
    return fixture.lastDispatch().attempt();
  }

  private AttemptId startStream(Duration deadline) {
    fixture.report("r1", 1, TableFixture.ready("c1", "replica1"));
    InboundRequest request = TableFixture.model("q1", "c1", "urgent", null);
    fixture.send(
        new InboundRequest(
            request.id(),
            request.customer(),
            request.kind(),
            request.target(),
            request.key(),
            request.urgency(),
            Optional.of(deadline),
            request.body()));
    return fixture.lastDispatch().attempt();
  }

  private void disconnect(String id) {
    fixture.step(
        context ->
            fixture.table.acceptCallerDisconnect(
                RequestId.of(id), context.runners(), context.step()));
  }

  private List<String> texts() {
    return fixture.effectsOfType(Effect.AnswerChunk.class).stream()
        .map(Effect.AnswerChunk::text)
        .toList();
  }

  private void assertRefused(String id, ResultCode code, Execution execution) {
    Refusal refusal = fixture.refusal(id).orElseThrow();
    assertThat(refusal.code()).isEqualTo(code);
    assertThat(refusal.execution()).isEqualTo(execution);
  }
}
