package dev.wisteriarail.core.request;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Detection and refusal of requests that crash the backend servers that run them. */
class PoisonTest {

  private static final Duration SHORT = Duration.ofSeconds(1);

  private final TableFixture fixture = TableFixture.create();

  @Test
  void contentIsRefusedAfterTwoCrashesAlsoUnderAnotherId() {
    crashTwice();
    assertRefused("q1");
    fixture.send("q2", "c1", "urgent");
    assertRefused("q2");
    assertThat(fixture.dispatches()).hasSize(CrashHistory.CRASH_LIMIT);
  }

  @Test
  void sameContentOfAnotherCustomerIsNotBlamed() {
    crashTwice();
    fixture.send("q3", "c2", "urgent");
    assertThat(fixture.dispatched()).contains("q3");
  }

  @Test
  void crashesOnOtherNodesCountThroughTheLog() {
    String fingerprint =
        Fingerprints.ofCustomerAndContent(TableFixture.service("x", "c1", "urgent", "{}"));
    for (int run = 1; run <= CrashHistory.CRASH_LIMIT; run++) {
      fixture.readRecord(
          new RecordBody.CrashSuspected(
              fingerprint,
              fixture.configuration.services().values().iterator().next().runners().get(0),
              Incarnation.of(run)));
    }
    fixture.send("q1", "c1", "urgent");
    assertRefused("q1");
    fixture.readRecord(new RecordBody.SuspicionCleared(fingerprint, "operator", "mended"));
    fixture.send("q2", "c1", "urgent");
    assertThat(fixture.dispatched()).containsExactly("q2");
  }

  @Test
  void innocentThatSharedTheCrashIsClearedWhenItCompletes() {
    fixture.send("bad", "c1", "urgent");
    fixture.send(TableFixture.service("good", "c1", "urgent", "{\"good\":1}"));
    fixture.dispatches().forEach(dispatch -> fixture.crash(dispatch.attempt()));
    fixture.report("app1", 2);
    fixture.report("app2", 2);
    fixture.advance(SHORT);
    AttemptId good =
        fixture.dispatches().stream()
            .skip(2)
            .filter(dispatch -> dispatch.request().id().value().equals("good"))
            .findFirst()
            .orElseThrow()
            .attempt();
    fixture.complete(good);
    assertThat(appended(RecordBody.SuspicionCleared.class)).hasSize(1);
    fixture.send(TableFixture.service("good2", "c1", "urgent", "{\"good\":1}"));
    fixture.crash(fixture.lastDispatch().attempt());
    assertThat(fixture.refusal("good2")).isEqualTo(Optional.empty());
  }

  @Test
  void twoSuspectsDoNotRunOnTheSameServer() {
    for (int i = 0; i < 6; i++) {
      fixture.send(TableFixture.service("q" + i, "c1", "urgent", "{\"n\":" + i + "}"));
    }
    List<Effect.Dispatch> first = fixture.dispatches();
    first.forEach(dispatch -> fixture.crash(dispatch.attempt()));
    fixture.report("app1", 2);
    fixture.report("app2", 2);
    fixture.advance(SHORT);
    assertThat(fixture.dispatches()).hasSize(first.size() + 2);
  }

  @Test
  void crashThatWasNoneIsRetracted() {
    fixture.send("q1", "c1", "urgent");
    fixture.crash(fixture.lastDispatch().attempt());
    fixture.advance(Duration.ofSeconds(3));
    fixture.report(fixture.dispatches().getFirst().runner().value(), 1);
    assertThat(appended(RecordBody.CrashRetracted.class)).hasSize(1);
  }

  @Test
  void refusalExpires() {
    crashTwice();
    fixture.now = fixture.now.plus(CrashHistory.POISON_EXPIRY);
    fixture.send("q3", "c1", "urgent");
    assertThat(fixture.dispatched()).contains("q3");
  }

  @Test
  void refusalSurvivesSnapshot() {
    crashTwice();
    TableFixture restored = TableFixture.create();
    restored.table.crashes().restore(fixture.table.crashes().snapshot(), 9);
    restored.step(context -> {});
    restored.send("q2", "c1", "urgent");
    assertThat(restored.refusal("q2").orElseThrow().code()).isEqualTo(ResultCode.POISON_REQUEST);
  }

  @Test
  void unrecordedCrashDoesNotWakeTheNodeWhileTheLogIsDown() {
    fixture.send("q1", "c1", "urgent");
    crashAndRestart();
    fixture.logDown = true;
    fixture.advance(SHORT);
    fixture.now = fixture.now.plusSeconds(5);
    fixture.step(context -> {});
    Instant now = fixture.now;
    assertThat(fixture.table.nextWakeUp().filter(due -> !due.isAfter(now)))
        .isEqualTo(Optional.empty());
  }

  // Helpers

  private void crashTwice() {
    fixture.send("q1", "c1", "urgent");
    crashAndRestart();
    fixture.advance(SHORT);
    crashAndRestart();
  }

  private void crashAndRestart() {
    Effect.Dispatch dispatch = fixture.lastDispatch();
    fixture.crash(dispatch.attempt());
    fixture.report(
        dispatch.runner().value(), fixture.runners.incarnation(dispatch.runner()).value() + 1);
  }

  private <T extends RecordBody> List<T> appended(Class<T> type) {
    return fixture.effectsOfType(Effect.Append.class).stream()
        .map(Effect.Append::body)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  private void assertRefused(String id) {
    assertThat(fixture.refusal(id).orElseThrow().code()).isEqualTo(ResultCode.POISON_REQUEST);
  }
}
