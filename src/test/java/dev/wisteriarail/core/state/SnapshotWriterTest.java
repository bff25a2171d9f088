package dev.wisteriarail.core.state;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.Timings;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.state.InMemoryLog.Reader;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class SnapshotWriterTest {

  private final InMemoryLog log = new InMemoryLog();
  private final Reader reader = new Reader();
  private final SnapshotWriter writer =
      SnapshotWriter.create(
          new NodeSettings(
              NodeId.of("n1"),
              Incarnation.of(1),
              FailureDomain.of("fd1"),
              InMemoryLog.CELL,
              1,
              Timings.DEFAULT));
  private Instant now = Instant.EPOCH;

  @Test
  void firstSnapshotIsWrittenBeforeAnythingIsDropped() {
    appendChanges((int) SnapshotWriter.FIRST_SNAPSHOT_RECORDS);
    assertThat(advance(true)).hasSize(1);
  }

  @Test
  void onlyTheChosenNodeWrites() {
    appendChanges((int) SnapshotWriter.FIRST_SNAPSHOT_RECORDS);
    assertThat(advance(false)).isEmpty();
  }

  @Test
  void snapshotInTheOlderHalfOfTheLogIsReplaced() {
    appendChanges(10);
    log.write("s", reader.logFollower.snapshot());
    appendChanges(30);
    assertThat(advance(true)).isEmpty();
    log.dropTo(2);
    reader.accept(log.read(reader.from(), 10));
    assertThat(advance(true)).hasSize(1);
  }

  @Test
  void quietLogGetsFreshSnapshotByAge() {
    appendChanges(10);
    log.write("s", reader.logFollower.snapshot());
    reader.readAll(log);
    assertThat(advance(true)).isEmpty();
    now = now.plus(SnapshotWriter.MAX_AGE);
    assertThat(advance(true)).hasSize(1);
  }

  @Test
  void lostAnswerIsRepeatedUnderTheSameIdentifier() {
    appendChanges((int) SnapshotWriter.FIRST_SNAPSHOT_RECORDS);
    Effect.Append first = advance(true).getFirst();
    Step step = Step.at(now);
    writer.acceptAppend(first.record(), new AppendOutcome.Unknown("lost"), step);
    assertThat(step.effects()).isEmpty();
    now = now.plus(Duration.ofSeconds(3));
    assertThat(advance(true)).containsExactly(first);
  }

  @Test
  void nodeWithGapWritesNothing() {
    appendChanges((int) SnapshotWriter.FIRST_SNAPSHOT_RECORDS);
    log.append("late", InMemoryLog.change(0, "s9", 1));
    log.append("later", InMemoryLog.change(0, "s8", 1));
    log.dropTo(log.size() - 1);
    reader.accept(log.read(reader.from(), 10));
    assertThat(reader.logFollower.isCurrent()).isFalse();
    assertThat(advance(true)).isEmpty();
  }

  @Test
  void writtenSnapshotStartsNewReader() {
    appendChanges((int) SnapshotWriter.FIRST_SNAPSHOT_RECORDS);
    List<Effect.Append> due = advance(true);
    while (!due.isEmpty()) {
      Effect.Append append = due.getFirst();
      log.append(append.record().value(), append.body());
      Step step = Step.at(now);
      writer.acceptAppend(append.record(), new AppendOutcome.Appended(log.size() - 1), step);
      due = appends(step);
    }
    log.dropTo((int) SnapshotWriter.FIRST_SNAPSHOT_RECORDS);
    Reader late = new Reader();
    late.readAll(log);
    assertThat(late.logFollower.isCurrent()).isTrue();
    assertThat(late.configurations.current()).isEqualTo(reader.configurations.current());
  }

  private void appendChanges(int count) {
    for (int i = 0; i < count; i++) {
      RecordBody change =
          InMemoryLog.change(reader.configurations.sectionRevision("s").value(), "s", 1 + i);
      log.append("r" + log.size(), change);
      reader.readAll(log);
    }
  }

  private List<Effect.Append> advance(boolean isWriter) {
    Step step = Step.at(now);
    writer.advance(reader.logFollower, isWriter, step);
    return appends(step);
  }

  private static List<Effect.Append> appends(Step step) {
    return step.effects().stream()
        .filter(Effect.Append.class::isInstance)
        .map(Effect.Append.class::cast)
        .toList();
  }
}
