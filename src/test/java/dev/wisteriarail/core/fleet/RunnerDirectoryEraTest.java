package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.LogPosition;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the runner directory after the store was restored from an older copy. */
class RunnerDirectoryEraTest {

  private static final Instant START = Instant.EPOCH;

  private final RunnerDirectory directory = RunnerDirectory.create();

  private static RunnerEntry entry(String id, boolean draining, long born, long sequence) {
    return new RunnerEntry(
        id, "s", "10.0.0.1", 80, "a", 8, draining, born, sequence, List.of(), Set.of(), Set.of());
  }

  private void acceptSnapshot(long era, long to, RunnerEntry... entries) {
    accept(new DirectoryChange(true, at(era, 0), at(era, to), List.of(entries), List.of()));
  }

  private void acceptDelta(long era, long from, long to, RunnerEntry... entries) {
    accept(new DirectoryChange(false, at(era, from), at(era, to), List.of(entries), List.of()));
  }

  private void acceptRemoval(long era, long from, String id) {
    accept(new DirectoryChange(false, at(era, from), at(era, from + 1), List.of(), List.of(id)));
  }

  private void accept(DirectoryChange change) {
    directory.accept(change, START, START);
  }

  private static LogPosition at(long era, long offset) {
    return LogPosition.of(era, offset);
  }

  private List<String> usable() {
    return directory.usable().stream().map(RunnerEntry::id).toList();
  }

  /**
   * The log had grown past its old end before it was read again, so no answer shows that records
   * are missing.
   */
  @Test
  void changesOfLaterEraAreNotTakenForTheNextOnes() {
    acceptSnapshot(0, 5, entry("r", false, 1, 1));
    acceptDelta(1, 5, 9, entry("x", false, 1, 1));
    assertThat(directory.offset()).isEqualTo(at(0, 5));
    assertThat(usable()).containsExactly("r");
  }

  @Test
  void wholeDirectoryOfLaterEraIsTakenThoughItEndsEarlier() {
    acceptSnapshot(0, 500, entry("r", false, 1, 1));
    acceptSnapshot(1, 20, entry("r", false, 1, 1), entry("x", false, 1, 1));
    assertThat(directory.offset()).isEqualTo(at(1, 20));
    assertThat(directory.significantOffset()).isEqualTo(at(1, 20));
    assertThat(usable()).containsExactly("r", "x");
  }

  @Test
  void changeOfAnEarlierEraIsPassedOver() {
    acceptSnapshot(1, 20, entry("r", false, 1, 3));
    acceptSnapshot(0, 500);
    acceptDelta(0, 20, 25, entry("r", true, 1, 2));
    assertThat(usable()).containsExactly("r");
  }

  @Test
  void runnerThatTheCopyLacksStaysUntilItShouldHaveWrittenAgain() {
    acceptSnapshot(0, 5, entry("r", false, 1, 1), entry("x", false, 1, 1));
    acceptSnapshot(1, 3, entry("r", false, 1, 1));
    assertThat(usable()).containsExactly("r", "x");
    directory.advance(START.plusMillis(2_500));
    assertThat(usable()).containsExactly("r", "x");
    directory.advance(START.plus(Duration.ofSeconds(5)));
    assertThat(usable()).containsExactly("r");
  }

  @Test
  void copyMayNameRunnersAsRemovedThatWereNeverKnown() {
    acceptSnapshot(0, 5, entry("r", false, 1, 1));
    accept(
        new DirectoryChange(
            true, at(1, 0), at(1, 3), List.of(entry("r", false, 1, 1)), List.of("unknown")));
    assertThat(usable()).containsExactly("r");
  }

  @Test
  void runnerThatIsWrittenAgainStays() {
    acceptSnapshot(0, 5, entry("r", false, 1, 1), entry("x", false, 1, 1));
    acceptSnapshot(1, 3, entry("r", false, 1, 1));
    acceptDelta(1, 3, 4, entry("x", false, 1, 4));
    directory.advance(START.plus(Duration.ofSeconds(5)));
    assertThat(usable()).containsExactly("r", "x");
  }

  @Test
  void runnerThatTheStoreTakesOutIsGone() {
    acceptSnapshot(0, 5, entry("r", false, 1, 1), entry("x", false, 1, 1));
    acceptSnapshot(1, 3, entry("r", false, 1, 1), entry("x", false, 1, 1));
    acceptRemoval(1, 3, "x");
    assertThat(usable()).containsExactly("r");
  }

  /** The copy still lists a runner whose removal was lost. */
  @Test
  void removedRunnerComesBackOnlyWithNewerEntry() {
    acceptSnapshot(0, 5, entry("r", false, 1, 1), entry("x", false, 1, 7));
    acceptRemoval(0, 5, "x");
    acceptSnapshot(1, 3, entry("r", false, 1, 1), entry("x", false, 1, 7));
    assertThat(usable()).containsExactly("r");
    acceptSnapshot(1, 4, entry("r", false, 1, 1), entry("x", false, 1, 6));
    assertThat(usable()).containsExactly("r");
    acceptDelta(1, 4, 5, entry("x", false, 1, 9));
    assertThat(usable()).containsExactly("r", "x");
  }

  /**
   * The store dropped the entry in an outage and restored it; runners need not number their
   * entries.
   */
  @Test
  void runnerThatComesBackInTheSameEraIsTakenWhateverItsCount() {
    acceptSnapshot(0, 5, entry("r", false, 1, 0), entry("x", false, 1, 0));
    acceptRemoval(0, 5, "x");
    acceptSnapshot(0, 9, entry("r", false, 1, 0), entry("x", false, 1, 0));
    assertThat(usable()).containsExactly("r", "x");
  }

  @Test
  void runnerThatLeavesStaysOutThoughTheCopyIsOlder() {
    acceptSnapshot(0, 5, entry("r", false, 1, 1));
    acceptDelta(0, 5, 6, entry("r", true, 1, 2));
    acceptSnapshot(1, 3, entry("r", false, 1, 1));
    assertThat(usable()).isEmpty();
  }

  @Test
  void entryOfTheCopyDoesNotReplaceLaterOne() {
    acceptSnapshot(0, 5, entry("r", false, 1, 4));
    RunnerEntry older =
        new RunnerEntry(
            "r", "s", "10.0.0.1", 80, "a", 3, false, 1, 2, List.of(), Set.of(), Set.of());
    acceptSnapshot(1, 3, older);
    assertThat(directory.usable("r").orElseThrow().slots()).isEqualTo(8);
  }

  @Test
  void peerNeedsTheSnapshotOfLaterEra() {
    RunnerDirectory peer = RunnerDirectory.create();
    acceptSnapshot(0, 500, entry("r", false, 1, 1));
    peer.accept(directory.snapshot(), START, START);
    acceptSnapshot(1, 20, entry("r", false, 1, 1));
    peer.accept(directory.snapshot(), START, START);
    acceptDelta(1, 20, 21, entry("x", false, 1, 1));
    assertThat(peer.offset()).isEqualTo(at(1, 20));
    assertThat(peer.offset()).isLessThan(directory.significantOffset());
  }
}
