package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.LogPosition;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests a node's view of the runner directory. */
class RunnerDirectoryTest {

  private static final Instant START = Instant.EPOCH;

  static RunnerEntry entry(String id, boolean draining, long born) {
    return new RunnerEntry(
        id, "s", "10.0.0.1", 80, "a", 8, draining, born, 0, List.of(), Set.of(), Set.of());
  }

  private static DirectoryChange delta(long from, long to, RunnerEntry... entries) {
    return new DirectoryChange(
        false, LogPosition.of(0, from), LogPosition.of(0, to), List.of(entries), List.of());
  }

  private static DirectoryChange snapshot(long to, RunnerEntry... entries) {
    return new DirectoryChange(
        true, LogPosition.of(0, 0), LogPosition.of(0, to), List.of(entries), List.of());
  }

  private static List<String> usable(RunnerDirectory directory) {
    return directory.usable().stream().map(RunnerEntry::id).toList();
  }

  @Test
  void drainingRunRemainsDrainingUntilNewRun() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, entry("r", false, 1)), START, START);
    directory.accept(delta(5, 6, entry("r", true, 1)), START, START);
    assertThat(usable(directory)).isEmpty();
    directory.accept(delta(6, 7, entry("r", false, 1)), START, START);
    assertThat(usable(directory)).isEmpty();
    directory.accept(delta(7, 8, entry("r", false, 2)), START, START);
    assertThat(usable(directory)).containsExactly("r");
  }

  @Test
  void entryOfAnEarlierRunIsPassedOver() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, entry("r", false, 9)), START, START);
    directory.accept(delta(5, 6, entry("r", true, 3)), START, START);
    assertThat(usable(directory)).containsExactly("r");
  }

  private static RunnerEntry entryOf(long born, long sequence) {
    return new RunnerEntry(
        "r", "s", "10.0.0.1", 80, "a", 8, false, born, sequence, List.of(), Set.of(), Set.of());
  }

  /** Another writer's entry with a later start must not hide a runner that goes on writing. */
  @Test
  void runThatGoesOnWritingReplacesOneWithLaterStart() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, entryOf(3, 10)), START, START);
    directory.accept(delta(5, 6, entryOf(9, 1)), START, START);
    directory.accept(delta(6, 7, entryOf(3, 11)), START, START);
    directory.accept(delta(7, 8, entryOf(3, 12)), START, START);
    assertThat(directory.usable("r")).hasValue(entryOf(9, 1));
    directory.accept(delta(8, 9, entryOf(3, 13)), START, START);
    assertThat(directory.usable("r")).hasValue(entryOf(3, 13));
  }

  /** Entries of an earlier run that were delayed come between those of the run that goes on. */
  @Test
  void delayedEntriesOfAnEarlierRunArePassedOver() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, entryOf(9, 1)), START, START);
    for (int i = 0; i < 5; i++) {
      directory.accept(delta(5, 6 + 3 * i, entryOf(3, 20 + 2 * i)), START, START);
      directory.accept(delta(5, 7 + 3 * i, entryOf(3, 21 + 2 * i)), START, START);
      directory.accept(delta(5, 8 + 3 * i, entryOf(9, 2 + i)), START, START);
    }
    assertThat(directory.usable("r")).hasValue(entryOf(9, 6));
  }

  /** An entry that another writer made unreadable is missing from a complete directory. */
  @Test
  void runnerWhoseEntryIsUnreadableHolds() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, entry("r", false, 1), entry("x", false, 1)), START, START);
    DirectoryChange change = directory.withKnown(snapshot(9), Set.of("r", "unknown"));
    directory.accept(change, START, START);
    assertThat(usable(directory)).containsExactly("r");
  }

  @Test
  void changeThatLeavesOneGapIsNotTaken() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, entry("r", false, 1)), START, START);
    assertThat(directory.accept(delta(7, 8, entry("x", false, 1)), START, START)).isEmpty();
    assertThat(directory.offset()).isEqualTo(LogPosition.of(0, 5));
  }

  @Test
  void relayedChangesReachBackToTheLastSignificantOne() {
    RunnerDirectory reader = RunnerDirectory.create();
    RunnerDirectory peer = RunnerDirectory.create();
    reader.accept(snapshot(5, entry("r", false, 1)), START, START);
    peer.accept(reader.snapshot(), START, START);
    DirectoryChange same = delta(5, 9, entry("r", false, 1));
    assertThat(reader.significantPart(same).isEmpty()).isTrue();
    reader.accept(same, START, START);
    DirectoryChange significant = delta(9, 10, entry("r", true, 1));
    DirectoryChange relayed = reader.significantPart(significant);
    reader.accept(significant, START, START);
    peer.accept(relayed, START, START);
    assertThat(usable(peer)).isEmpty();
    assertThat(peer.offset()).isEqualTo(reader.offset());
  }

  @Test
  void entriesThatVanishTogetherStayInUseForOneMoment() {
    RunnerEntry[] all =
        IntStream.range(0, 6).mapToObj(i -> entry("r" + i, false, 1)).toArray(RunnerEntry[]::new);
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, all), START, START);
    directory.accept(snapshot(9, all[0]), START, START);
    assertThat(usable(directory)).hasSize(6);
    directory.advance(START.plusMillis(1_600));
    assertThat(usable(directory)).containsExactly("r0");
  }

  @Test
  void singleEntryThatVanishesIsOutAtOnce() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, entry("r", false, 1), entry("x", false, 1)), START, START);
    directory.accept(
        new DirectoryChange(
            false, LogPosition.of(0, 5), LogPosition.of(0, 6), List.of(), List.of("r")),
        START,
        START);
    assertThat(usable(directory)).containsExactly("x");
  }

  @Test
  void itsAgeCountsFromTheBeginningOfTheReadAndNotFromItsArrival() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, entry("r", false, 1)), START.minusMillis(900), START);
    assertThat(directory.age(START).toMillis()).isEqualTo(900);
    directory.accept(delta(5, 6, entry("r", true, 1)), Instant.MIN, START);
    assertThat(directory.age(START).toMillis()).isEqualTo(900);
  }

  @Test
  void changeCountIncreasesOnlyWhenUsableRunnersChange() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, entry("r", false, 1)), START, START);
    final long before = directory.changeCount();
    directory.accept(delta(5, 6, entry("r", false, 1)), START, START);
    assertThat(directory.changeCount()).isEqualTo(before);
    directory.accept(delta(6, 7, entry("r", true, 1)), START, START);
    assertThat(directory.changeCount()).isGreaterThan(before);
  }

  @Test
  void runnerThatSaysThatItLeavesStaysOutWhateverItsEntrySays() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, entry("r", false, 1), entry("x", false, 1)), START, START);
    assertThat(directory.markLeaving(new RunnerRun("r", 1))).isPresent();
    assertThat(directory.markLeaving(new RunnerRun("r", 1))).isEmpty();
    directory.accept(delta(5, 6, entry("r", false, 1)), START, START);
    assertThat(usable(directory)).containsExactly("x");
    directory.accept(delta(6, 7, entry("r", false, 2)), START, START);
    assertThat(usable(directory)).containsExactly("r", "x");
  }

  @Test
  void leaveNoticeOfEarlierRunDoesNotAffectLaterRun() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, entry("r", false, 2)), START, START);
    assertThat(directory.markLeaving(new RunnerRun("r", 1))).isEmpty();
    assertThat(usable(directory)).containsExactly("r");
  }

  @Test
  void leaveNoticeBeforeTheEntryApplies() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.markLeaving(new RunnerRun("r", 1));
    directory.accept(snapshot(5, entry("r", false, 1)), START, START);
    assertThat(usable(directory)).isEmpty();
  }

  /**
   * Peers are notified until the directory itself lists the runner as draining. Until then, further
   * entries of the runner that are not draining are no significant change for them.
   */
  @Test
  void leaveNoticeIsPublishedUntilTheEntryIsDraining() {
    RunnerDirectory directory = RunnerDirectory.create();
    directory.accept(snapshot(5, entry("r", false, 1)), START, START);
    directory.markLeaving(new RunnerRun("r", 1));
    directory.advance(START);
    assertThat(directory.unconfirmedLeaves()).containsExactly(new RunnerRun("r", 1));
    assertThat(directory.significantPart(delta(5, 6, entry("r", false, 1))).isEmpty()).isTrue();
    directory.accept(delta(5, 6, entry("r", true, 1)), START, START);
    assertThat(directory.unconfirmedLeaves()).isEmpty();
  }
}
