package dev.wisteriarail.core.state;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.state.InMemoryLog.Reader;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class LogFollowerTest {

  private final InMemoryLog log = new InMemoryLog();

  @Test
  void repeatedRecordIsIgnored() {
    log.append("a", InMemoryLog.change(0, "s1", 1));
    log.append("b", InMemoryLog.change(1, "s1", 2));
    log.repeat(0);
    log.append("c", claim(-1));
    log.repeat(3);
    Reader reader = new Reader();
    reader.readAll(log);
    assertThat(reader.configurations.current().revision()).isEqualTo(Revision.of(2));
    assertThat(reader.cellState.fence()).isEqualTo(FencingNumber.of(3));
  }

  @Test
  void repeatIsDetectedByReaderThatStartedFromTheSnapshot() {
    log.append("a", claim(-1));
    Reader writer = new Reader();
    writer.readAll(log);
    log.write("s", writer.logFollower.snapshot());
    log.dropTo(1);
    log.append("a", claim(0));
    Reader late = new Reader();
    late.readAll(log);
    assertThat(late.cellState.fence()).isEqualTo(FencingNumber.of(0));
  }

  @Test
  void lateReaderAppliesNothingUntilSnapshotClosesTheGap() {
    for (int i = 0; i < 10; i++) {
      log.append("r" + i, InMemoryLog.change(i, "s1", 1 + i));
    }
    Reader writer = new Reader();
    writer.readAll(log);
    Reader late = new Reader();
    late.accept(log.read(0, 3));
    log.dropTo(6);
    late.readAll(log);
    assertThat(late.logFollower.isCurrent()).isFalse();
    assertThat(late.configurations.current().revision()).isEqualTo(Revision.of(3));

    log.write("s", writer.logFollower.snapshot());
    late.readAll(log);
    assertThat(late.logFollower.isCurrent()).isTrue();
    assertThat(late.configurations.current()).isEqualTo(writer.configurations.current());
  }

  @Test
  void snapshotThatDoesNotReachTheGapIsOfNoUse() {
    Reader writer = new Reader();
    log.append("r0", InMemoryLog.change(0, "s1", 1));
    writer.readAll(log);
    Snapshot old = writer.logFollower.snapshot();
    for (int i = 1; i < 10; i++) {
      log.append("r" + i, InMemoryLog.change(i, "s1", 1 + i));
    }
    log.dropTo(5);
    log.write("old", old);
    Reader late = new Reader();
    late.readAll(log);
    assertThat(late.logFollower.isCurrent()).isFalse();
    assertThat(late.configurations.current().revision()).isEqualTo(Revision.NONE);
  }

  @Test
  void windowForgetsTheOldestIdentifierOnly() {
    RecentIds recent = new RecentIds();
    for (int i = 0; i <= RecentIds.WINDOW; i++) {
      assertThat(recent.add(RecordId.of("r" + i))).isTrue();
    }
    RecentIds copy = new RecentIds();
    copy.restore(recent.snapshot(), 0);
    assertThat(copy.add(RecordId.of("r1"))).isFalse();
    assertThat(copy.add(RecordId.of("r0"))).isTrue();
  }

  /** Delayed, repeated and restarted reads, retention and snapshots in random order. */
  @Property(tries = 400, seed = "20261204")
  void everyReaderAgreesWithTheOneThatReadAllAndNeverReverts(
      @ForAll @Size(min = 5, max = 120) List<@IntRange(max = 9) Integer> actions,
      @ForAll long seed) {
    Random random = new Random(seed);
    InMemoryLog script = new InMemoryLog();
    Reader reference = new Reader();
    List<Reader> readers = new ArrayList<>(List.of(new Reader(), new Reader(), new Reader()));
    for (int action : actions) {
      act(action, script, reference, readers, random);
      for (Reader reader : readers) {
        checkAgainst(reader, script);
      }
    }
    reference.readAll(script);
    script.write("last", reference.logFollower.snapshot());
    reference.readAll(script);
    for (Reader reader : readers) {
      reader.readAll(script);
      assertThat(reader.logFollower.isCurrent()).isTrue();
      assertThat(reader.logFollower.snapshot()).isEqualTo(reference.logFollower.snapshot());
    }
  }

  private static void act(
      int action, InMemoryLog script, Reader reference, List<Reader> readers, Random random) {
    int size = script.size();
    switch (action) {
      case 0, 1, 2 -> {
        long based = reference.configurations.sectionRevision("s" + random.nextInt(2)).value();
        String section = "s" + random.nextInt(2);
        script.append("c" + size, InMemoryLog.change(based, section, 1 + random.nextInt(9)));
      }
      case 3 -> script.append("k" + size, claim(reference.cellState.fence().value()));
      case 4 -> {
        if (size > 0) {
          script.repeat(random.nextInt(size));
        }
      }
      case 5 -> script.write("s" + size, reference.logFollower.snapshot());
      case 6 -> script.dropTo(random.nextInt(size + 1));
      case 7 -> readers.set(random.nextInt(readers.size()), new Reader());
      default -> {
        Reader reader = readers.get(random.nextInt(readers.size()));
        long again = Math.max(0, reader.from() - random.nextInt(4));
        Revision before = reader.configurations.current().revision();
        reader.accept(script.read(again, 1 + random.nextInt(20)));
        assertThat(reader.configurations.current().revision()).isAtLeast(before);
      }
    }
    reference.readAll(script);
  }

  /** Checks that a reader's state equals that of a node that read all records up to its offset. */
  private static void checkAgainst(Reader reader, InMemoryLog script) {
    Reader full = new Reader();
    full.accept(script.readUndropped(reader.logFollower.nextOffset()));
    assertThat(reader.logFollower.snapshot()).isEqualTo(full.logFollower.snapshot());
  }

  private static RecordBody claim(long previous) {
    return new RecordBody.ClaimRecorded(
        InMemoryLog.CELL, NodeId.of("n1"), Incarnation.of(1), FencingNumber.of(previous));
  }
}
