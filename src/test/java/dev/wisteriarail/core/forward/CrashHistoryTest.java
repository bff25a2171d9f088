package dev.wisteriarail.core.forward;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.RunnerRun;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests are found to crash runners, and which are not. */
class CrashHistoryTest {

  private final CrashHistory history = CrashHistory.create();
  private Instant now = Instant.EPOCH.plusSeconds(100);
  private int runs;

  private static List<RequestTrait> parts(String... names) {
    return Arrays.stream(names).map(RequestTrait::ofPart).toList();
  }

  /** Records that a new run of a runner crashed with the given requests, all sent 50 ms before. */
  @SafeVarargs
  private void crash(List<RequestTrait>... requests) {
    crash(Duration.ofMillis(50), requests);
  }

  @SafeVarargs
  private void crash(Duration sentBefore, List<RequestTrait>... requests) {
    RunnerLoss loss = new RunnerLoss(new RunnerRun("e" + ++runs, 1), 0);
    for (List<RequestTrait> request : requests) {
      history.recordCrash(new CrashReport(loss, sentBefore.toMillis(), request), now);
    }
  }

  private void pass(long millis) {
    now = now.plusMillis(millis);
  }

  private boolean isRefused(String... parts) {
    return history.refusal(parts(parts), Duration.ZERO, now).isPresent();
  }

  @Test
  void partThatAllCrashesShareIsFoundAndSoundOnesAreNot() {
    history.recordSound(parts("first"), now);
    for (int i = 0; i < 3; i++) {
      crash(parts("first", "session-" + i, "deadly"), parts("first", "beside-" + i));
      pass(700);
    }
    assertThat(isRefused("first", "session-9", "deadly")).isTrue();
    assertThat(isRefused("first", "session-1")).isFalse();
    assertThat(isRefused("first", "beside-1")).isFalse();
  }

  /**
   * Parts that always occur together cannot be distinguished, so only both together are refused.
   */
  @Test
  void partThatTravelsWithTheCrashingOneIsNotRefusedByItself() {
    for (int i = 0; i < 3; i++) {
      crash(parts("session", "deadly"));
      pass(700);
    }
    assertThat(isRefused("session", "deadly")).isTrue();
    assertThat(isRefused("session")).isFalse();
    assertThat(history.suspects(parts("session"))).isNotEmpty();
    assertThat(history.recordSound(parts("session"), now)).isNotEmpty();
    assertThat(isRefused("deadly")).isTrue();
  }

  @Test
  void twoCrashingPartsAreFoundSideBySide() {
    for (int i = 0; i < 3; i++) {
      crash(parts("one", "x" + i));
      pass(700);
      crash(parts("two", "y" + i));
      pass(700);
    }
    assertThat(isRefused("one", "z")).isTrue();
    assertThat(isRefused("two", "z")).isTrue();
  }

  /** Two causes at a time must not accuse a part that all their requests share. */
  @Test
  void partThatTwoCausesShareIsNotRefused() {
    RequestTrait content = RequestTrait.ofContent(1);
    for (int i = 0; i < 3; i++) {
      crash(Stream.concat(Stream.of(content), parts("first", "session").stream()).toList());
      pass(700);
      crash(parts("first", "x" + i, "deadly"));
      pass(700);
    }
    assertThat(isRefused("first", "session")).isFalse();
    assertThat(isRefused("first", "y")).isFalse();
    assertThat(isRefused("first", "y", "deadly")).isTrue();
  }

  /** Runners that crash at one moment do so for a reason of their own. */
  @ParameterizedTest
  @CsvSource({"500, 20", "20, 100"})
  void crashesAtOneMomentAccuseNothing(long sentBefore, long apart) {
    for (int i = 0; i < 6; i++) {
      crash(Duration.ofMillis(sentBefore), parts("first", "s" + i));
      pass(apart);
    }
    assertThat(isRefused("first", "s9")).isFalse();
  }

  @Test
  void lossesOnOneRunAreOneCrash() {
    RunnerLoss loss = new RunnerLoss(new RunnerRun("e", 1), 0);
    for (int i = 0; i < 5; i++) {
      history.recordCrash(new CrashReport(loss, 10, parts("part")), now);
      pass(100);
    }
    assertThat(history.count(RequestTrait.ofPart("part"))).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"-1000, 400, true", "500, 900, true", "-1000, 100, false", "3000, 3200, false"})
  void lossIsNoCrashIfTheRunnerGoesOn(long sentAfter, long noticedAfter, boolean refuted) {
    RunnerRun run = new RunnerRun("e", 1);
    history.recordCrash(new CrashReport(new RunnerLoss(run, 0), 10, parts("part")), now);
    Instant lostAt = now;
    pass(noticedAfter);
    assertThat(history.recordSignOfLife(run, lostAt.plusMillis(sentAfter), now).isPresent())
        .isEqualTo(refuted);
    assertThat(history.count(RequestTrait.ofPart("part"))).isEqualTo(refuted ? 0 : 1);
  }

  @Test
  void responseOnOnePartEndsItsRefusal() {
    for (int i = 0; i < 3; i++) {
      crash(parts("wrong", "s" + i));
      pass(700);
    }
    assertThat(isRefused("wrong")).isTrue();
    history.recordSound(parts("wrong"), now);
    assertThat(isRefused("wrong")).isFalse();
    crash(parts("wrong"));
    assertThat(history.suspects(parts("wrong"))).isEmpty();
  }

  /**
   * A part that comes again after its refusal has ended costs one runner, and is refused longer.
   */
  @Test
  void oneCrashAfterTheTermRefusesAgainForLonger() {
    for (int i = 0; i < 3; i++) {
      crash(parts("deadly", "s" + i));
      pass(700);
    }
    long term = history.refusals(now).getFirst().termMillis();
    pass(term + 1_000);
    history.advance(now);
    assertThat(isRefused("deadly")).isFalse();
    assertThat(history.suspects(parts("deadly"))).isNotEmpty();
    crash(parts("deadly", "later"));
    assertThat(isRefused("deadly")).isTrue();
    assertThat(history.refusals(now).getFirst().termMillis()).isEqualTo(8 * term);
  }

  @Test
  void refusalOfOnePeerDoesNotRefuseWhatIsKnownToBeSound() {
    history.recordSound(parts("first"), now);
    CrashRefusal told = new CrashRefusal(Set.copyOf(parts("first", "deadly")), 3, 60_000, 300_000);
    assertThat(history.acceptRefusal(told, now)).isTrue();
    assertThat(history.acceptRefusal(told, now)).isFalse();
    assertThat(isRefused("other", "deadly")).isTrue();
    assertThat(isRefused("first", "other")).isFalse();
  }

  /** A report that was delayed on a slow link must not count as another crash. */
  @Test
  void repeatedReportsAreNotCountedAgain() {
    crash(parts("part"));
    List<CrashReport> repeated = history.reports(now);
    pass(7_000);
    repeated.forEach(report -> history.recordRepeated(report, now));
    assertThat(history.count(RequestTrait.ofPart("part"))).isEqualTo(1);
    CrashHistory started = CrashHistory.create();
    repeated.forEach(report -> started.recordRepeated(report, now));
    assertThat(started.count(RequestTrait.ofPart("part"))).isEqualTo(1);
  }

  /**
   * A report of the newest loss on a run must not be taken for evidence at an older one, which
   * would count one loss as two crashes seconds apart.
   */
  @Test
  void repeatedReportIsNotCountedAtAnOlderLossOnItsRun() {
    List<RunnerLoss> losses =
        Stream.of("e1", "e2").map(id -> new RunnerLoss(new RunnerRun(id, 1), 0)).toList();
    for (RunnerLoss loss : losses) {
      history.recordCrash(new CrashReport(loss, 50, parts("other")), now);
    }
    pass(2_500);
    CrashHistory peer = CrashHistory.create();
    for (RunnerLoss loss : losses) {
      CrashReport report = new CrashReport(loss, 50, parts("part"));
      history.recordCrash(report, now);
      peer.recordCrash(report, now);
      pass(30);
    }
    pass(100);
    peer.reports(now).forEach(report -> history.recordRepeated(report, now));
    assertThat(history.count(RequestTrait.ofPart("part"))).isEqualTo(2);
    assertThat(isRefused("part")).isFalse();
  }

  /** A sound content that waits at each crash must not hide the one that crashes the runners. */
  @Test
  void contentIsRefusedThoughAnotherOneIsLostAtEachCrash() {
    RequestTrait deadly = RequestTrait.ofContent(1);
    RequestTrait beside = RequestTrait.ofContent(2);
    for (int i = 0; i < 3; i++) {
      crash(List.of(deadly), List.of(beside));
      pass(1_500);
    }
    assertThat(history.refusal(List.of(deadly), Duration.ZERO, now)).isPresent();
    history.recordSound(List.of(beside), now);
    assertThat(history.refusal(List.of(deadly), Duration.ZERO, now)).isPresent();
    assertThat(history.refusal(List.of(beside), Duration.ZERO, now)).isEmpty();
  }

  /** A refusal must not outlast the finding that one of its three losses was no crash. */
  @Test
  void refutedLossWithdrawsTheRefusalThatItLedTo() {
    for (int i = 0; i < 3; i++) {
      crash(parts("wrong", "s" + i));
      pass(1_500);
    }
    assertThat(isRefused("wrong")).isTrue();
    RunnerLoss first = new RunnerLoss(new RunnerRun("e1", 1), 4_500);
    assertThat(history.acceptRefutation(first, now).withdrawn())
        .containsExactly(Set.copyOf(parts("wrong")));
    assertThat(isRefused("wrong")).isFalse();
    assertThat(history.suspects(parts("wrong"))).isNotEmpty();
  }

  /** What led to a refusal is repeated by peers for longer than the refusal lasts. */
  @Test
  void refusalThatIsOverIsNotRenewedByRepeatedReports() {
    for (int i = 0; i < 3; i++) {
      crash(parts("deadly", "s" + i));
      pass(700);
    }
    List<CrashReport> repeated = history.reports(now);
    pass(history.refusals(now).getFirst().termMillis());
    repeated.forEach(report -> history.recordRepeated(report, now));
    assertThat(isRefused("deadly")).isFalse();
  }

  /** Prompts of many parts and many crashes must not take unbounded memory or time. */
  @Test
  void memoryIsBoundedWithManyPartsAndCrashes() {
    for (int i = 0; i < 400; i++) {
      int crash = i;
      crash(
          Stream.iterate(0, n -> n < 1_000, n -> n + 1)
              .map(n -> RequestTrait.ofPart(crash + "-" + n))
              .toList());
      pass(100);
    }
    assertThat(history.count(RequestTrait.ofPart("399-5"))).isEqualTo(1);
    assertThat(history.count(RequestTrait.ofPart("399-900"))).isEqualTo(0);
    assertThat(history.count(RequestTrait.ofPart("0-5"))).isEqualTo(0);
    assertThat(history.reports(now).size()).isAtMost(16);
  }
}
