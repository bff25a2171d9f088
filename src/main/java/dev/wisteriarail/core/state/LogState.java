package dev.wisteriarail.core.state;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Feeds a node's ledgers from the log: in order, each record once, without gaps.
 *
 * <p>Where the log dropped records that this node had not read, the ledgers stand still until a
 * snapshot covers the gap; {@link #isCurrent} is false meanwhile and the node must not decide.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class LogState {

  /** Records that wait for a snapshot at most, while there is a gap. */
  private static final int MAX_WAITING = 3 * (int) SnapshotWriter.RECORDS;

  private final CellId cell;
  private final List<Ledger> ledgers;
  private final RecentIds recent = new RecentIds();
  private final SnapshotAssembler fromLog = new SnapshotAssembler();
  private final Deque<LogRecord> waiting = new ArrayDeque<>();
  private Optional<LogSnapshot> newest = Optional.empty();
  private long nextOffset;
  private long firstOffset;
  private long readNext;
  private long waitingFrom;
  private boolean gap;

  /**
   * A whole snapshot that stands in the log.
   *
   * @param through offset of the last record that it covers
   * @param position offset of its last chunk
   */
  public record LogSnapshot(long through, long position) {}

  private LogState(CellId cell, List<Ledger> ledgers) {
    this.cell = cell;
    this.ledgers = List.copyOf(ledgers);
  }

  /**
   * Returns the state of a node that has read nothing.
   *
   * @param cell the cell whose snapshots are of use
   * @param ledgers what is folded
   */
  public static LogState create(CellId cell, List<Ledger> ledgers) {
    return new LogState(cell, ledgers);
  }

  // Updates

  /**
   * Takes records read from the log. Restores the ledgers where a snapshot closes a gap.
   *
   * @return the records that the ledgers have to fold now, in order
   */
  public List<LogRecord> accept(Event.LogRead read, Step step) {
    firstOffset = Math.max(firstOffset, read.firstOffset());
    noteGap(read.firstOffset(), step);
    List<LogRecord> due = new ArrayList<>();
    for (LogRecord logged : read.records()) {
      if (gap) {
        await(logged, due, step);
      } else {
        fold(logged, due);
      }
    }
    readNext = Math.max(readNext, read.nextOffset());
    return due;
  }

  private void noteGap(long first, Step step) {
    if (!gap && first > nextOffset) {
      gap = true;
      waitingFrom = first;
      step.log(EventCode.LOG_GAP, "expected", nextOffset, "first", first);
    } else if (gap && first > readNext) {
      waiting.clear();
      waitingFrom = first;
    }
  }

  /**
   * Starts from a peer's snapshot. Does nothing on a node that has folded records.
   *
   * @return whether the ledgers were restored
   */
  public boolean startFrom(Snapshot snapshot) {
    if (nextOffset > 0) {
      return false;
    }
    restore(snapshot);
    return true;
  }

  private void fold(LogRecord logged, List<LogRecord> due) {
    if (logged.offset() < nextOffset) {
      return;
    }
    nextOffset = logged.offset() + 1;
    if (recent.add(logged.id())) {
      noteSnapshot(logged);
      due.add(logged);
    }
  }

  private void await(LogRecord logged, List<LogRecord> due, Step step) {
    boolean isNew = waiting.isEmpty() || logged.offset() > waiting.getLast().offset();
    if (!isNew) {
      return;
    }
    waiting.addLast(logged);
    if (waiting.size() > MAX_WAITING) {
      waitingFrom = waiting.removeFirst().offset() + 1;
    }
    noteSnapshot(logged)
        .filter(snapshot -> snapshot.through() >= nextOffset - 1)
        .filter(snapshot -> snapshot.through() + 1 >= waitingFrom)
        .ifPresent(snapshot -> closeGap(snapshot, due, step));
  }

  private void closeGap(Snapshot snapshot, List<LogRecord> due, Step step) {
    restore(snapshot);
    gap = false;
    step.log(EventCode.LOG_GAP_CLOSED, "through", snapshot.through());
    for (LogRecord logged : waiting) {
      fold(logged, due);
    }
    waiting.clear();
  }

  private void restore(Snapshot snapshot) {
    recent.restore(snapshot.parts(), snapshot.through());
    ledgers.forEach(ledger -> ledger.restore(snapshot.parts(), snapshot.through()));
    nextOffset = snapshot.through() + 1;
  }

  private Optional<Snapshot> noteSnapshot(LogRecord logged) {
    if (!(logged.body() instanceof RecordBody.SnapshotChunk chunk) || !chunk.cell().equals(cell)) {
      return Optional.empty();
    }
    Optional<Snapshot> whole =
        fromLog.accept(chunk.name(), chunk.through(), chunk.index(), chunk.count(), chunk.parts());
    if (whole.isPresent()) {
      newest = Optional.of(new LogSnapshot(chunk.through(), logged.offset()));
    }
    return whole;
  }

  // Accessors

  /** Returns the state of all ledgers after the last folded record. */
  public Snapshot snapshot() {
    List<LedgerSnapshot> parts = new ArrayList<>(recent.snapshot());
    ledgers.forEach(ledger -> parts.addAll(ledger.snapshot()));
    return new Snapshot(nextOffset - 1, parts);
  }

  /** Returns whether no record is missing between what was folded and what the log keeps. */
  public boolean isCurrent() {
    return !gap;
  }

  /** Returns the offset after the last folded record. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the oldest offset that the log is known to keep. */
  public long firstOffset() {
    return firstOffset;
  }

  /** Returns the newest whole snapshot that was read from the log. */
  public Optional<LogSnapshot> newestSnapshot() {
    return newest;
  }
}
