package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.LogPosition;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What a node believes of the directory after the store came back from an older copy. */
class RunnerDirectoryEraTest {

  private static final Instant START = Instant.EPOCH;

  private final RunnerDirectory directory = RunnerDirectory.create();

  private static RunnerEntry entry(String id, boolean draining, long born, long sequence) {
    return new RunnerEntry(
        id, "s", "10.0.0.1", 80, "a", 8, draining, born, sequence, List.of(), Set.of(), Set.of());
  }

  private void whole(long era, long to, RunnerEntry... entries) {
    accept(new DirectoryChange(true, at(era, 0), at(era, to), List.of(entries), List.of()));
  }

  private void delta(long era, long from, long to, RunnerEntry... entries) {
    accept(new DirectoryChange(false, at(era, from), at(era, to), List.of(entries), List.of()));
  }

  private void remove(long era, long from, String id) {
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

  /** The log passed its old end before it was read again: no answer tells that records are gone. */
  @Test
  void changesOfLaterEraAreNotTakenForTheNextOnes() {
    whole(0, 5, entry("r", false, 1, 1));
    delta(1, 5, 9, entry("x", false, 1, 1));
    assertThat(directory.offset()).isEqualTo(at(0, 5));
    assertThat(usable()).containsExactly("r");
  }

  @Test
  void wholeDirectoryOfLaterEraIsTakenThoughItEndsEarlier() {
    whole(0, 500, entry("r", false, 1, 1));
    whole(1, 20, entry("r", false, 1, 1), entry("x", false, 1, 1));
    assertThat(directory.offset()).isEqualTo(at(1, 20));
    assertThat(directory.materialOffset()).isEqualTo(at(1, 20));
    assertThat(usable()).containsExactly("r", "x");
  }

  @Test
  void changeOfAnEarlierEraIsPassedOver() {
    whole(1, 20, entry("r", false, 1, 3));
    whole(0, 500);
    delta(0, 20, 25, entry("r", true, 1, 2));
    assertThat(usable()).containsExactly("r");
  }

  @Test
  void runnerThatTheCopyLacksStaysUntilItShouldHaveWrittenAgain() {
    whole(0, 5, entry("r", false, 1, 1), entry("x", false, 1, 1));
    whole(1, 3, entry("r", false, 1, 1));
    assertThat(usable()).containsExactly("r", "x");
    directory.advance(START.plusMillis(2_500));
    assertThat(usable()).containsExactly("r", "x");
    directory.advance(START.plus(Duration.ofSeconds(5)));
    assertThat(usable()).containsExactly("r");
  }

  @Test
  void copyMayNameRunnersAsRemovedThatWereNeverKnown() {
    whole(0, 5, entry("r", false, 1, 1));
    accept(
        new DirectoryChange(
            true, at(1, 0), at(1, 3), List.of(entry("r", false, 1, 1)), List.of("unknown")));
    assertThat(usable()).containsExactly("r");
  }

  @Test
  void runnerThatIsWrittenAgainStays() {
    whole(0, 5, entry("r", false, 1, 1), entry("x", false, 1, 1));
    whole(1, 3, entry("r", false, 1, 1));
    delta(1, 3, 4, entry("x", false, 1, 4));
    directory.advance(START.plus(Duration.ofSeconds(5)));
    assertThat(usable()).containsExactly("r", "x");
  }

  @Test
  void runnerThatTheStoreTakesOutIsGone() {
    whole(0, 5, entry("r", false, 1, 1), entry("x", false, 1, 1));
    whole(1, 3, entry("r", false, 1, 1), entry("x", false, 1, 1));
    remove(1, 3, "x");
    assertThat(usable()).containsExactly("r");
  }

  /** The copy still lists a runner that was taken out in what was lost. */
  @Test
  void runnerThatWasGoneComesBackOnlyByNewWord() {
    whole(0, 5, entry("r", false, 1, 1), entry("x", false, 1, 7));
    remove(0, 5, "x");
    whole(1, 3, entry("r", false, 1, 1), entry("x", false, 1, 7));
    assertThat(usable()).containsExactly("r");
    whole(1, 4, entry("r", false, 1, 1), entry("x", false, 1, 6));
    assertThat(usable()).containsExactly("r");
    delta(1, 4, 5, entry("x", false, 1, 9));
    assertThat(usable()).containsExactly("r", "x");
  }

  /** The store lapsed it in an outage and has it back; runners need not count their words. */
  @Test
  void runnerThatComesBackInTheSameEraIsTakenWhateverItsCount() {
    whole(0, 5, entry("r", false, 1, 0), entry("x", false, 1, 0));
    remove(0, 5, "x");
    whole(0, 9, entry("r", false, 1, 0), entry("x", false, 1, 0));
    assertThat(usable()).containsExactly("r", "x");
  }

  @Test
  void runnerThatLeavesStaysOutThoughTheCopyIsOlder() {
    whole(0, 5, entry("r", false, 1, 1));
    delta(0, 5, 6, entry("r", true, 1, 2));
    whole(1, 3, entry("r", false, 1, 1));
    assertThat(usable()).isEmpty();
  }

  @Test
  void wordOfTheCopyUndoesNoLaterOne() {
    whole(0, 5, entry("r", false, 1, 4));
    RunnerEntry older =
        new RunnerEntry(
            "r", "s", "10.0.0.1", 80, "a", 3, false, 1, 2, List.of(), Set.of(), Set.of());
    whole(1, 3, older);
    assertThat(directory.usable("r").orElseThrow().slots()).isEqualTo(8);
  }

  @Test
  void peerIsToldTheWholeOfLaterEra() {
    RunnerDirectory peer = RunnerDirectory.create();
    whole(0, 500, entry("r", false, 1, 1));
    peer.accept(directory.whole(), START, START);
    whole(1, 20, entry("r", false, 1, 1));
    peer.accept(directory.whole(), START, START);
    delta(1, 20, 21, entry("x", false, 1, 1));
    assertThat(peer.offset()).isEqualTo(at(1, 20));
    assertThat(peer.offset()).isLessThan(directory.materialOffset());
  }
}
