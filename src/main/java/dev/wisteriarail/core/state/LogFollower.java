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
 * Delivers the log records to a node's replicated states: in order, without gaps, and each record
 * exactly once.
 *
 * <p>If the log dropped records that this node had not read, no records are delivered until a
 * snapshot covers the gap. Meanwhile {@link #isCurrent} returns false and the node must not make
 * decisions.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class LogFollower {

  /** Maximum number of records that are buffered while a gap waits for a snapshot. */
  private static final int MAX_BUFFERED = 3 * (int) SnapshotWriter.RECORD_INTERVAL;

  private final CellId cell;
  private final List<ReplicatedState> states;
  private final RecentIds recentIds = new RecentIds();
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private final Deque<LogRecord> buffered = new ArrayDeque<>();
  private Optional<LogSnapshot> newestSnapshot = Optional.empty();
  private long nextOffset;
  private long firstOffset;
  private long nextReadOffset;
  private long bufferedFrom;
  private boolean hasGap;

  /**
   * A complete snapshot in the log.
   *
   * @param through offset of the last record that it covers
   * @param position offset of its last chunk
   */
  public record LogSnapshot(long through, long position) {}

  private LogFollower(CellId cell, List<ReplicatedState> states) {
    this.cell = cell;
    this.states = List.copyOf(states);
  }

  /**
   * Creates the follower of a node that has not read any record.
   *
   * @param cell the cell whose snapshots are used; those of other cells are ignored
   * @param states the states that the snapshots cover and restore
   */
  public static LogFollower create(CellId cell, List<ReplicatedState> states) {
    return new LogFollower(cell, states);
  }

  // Updates

  /**
   * Processes records read from the log. Restores the states if a snapshot closes a gap.
   *
   * @return the records that have to be applied to the states now, in order
   */
  public List<LogRecord> accept(Event.LogRead read, Step step) {
    firstOffset = Math.max(firstOffset, read.firstOffset());
    detectGap(read.firstOffset(), step);
    List<LogRecord> newRecords = new ArrayList<>();
    for (LogRecord logged : read.records()) {
      if (hasGap) {
        buffer(logged, newRecords, step);
      } else {
        addIfNew(logged, newRecords);
      }
    }
    nextReadOffset = Math.max(nextReadOffset, read.nextOffset());
    return newRecords;
  }

  private void detectGap(long firstKept, Step step) {
    if (!hasGap && firstKept > nextOffset) {
      hasGap = true;
      bufferedFrom = firstKept;
      step.log(EventCode.LOG_GAP, "expected", nextOffset, "first", firstKept);
    } else if (hasGap && firstKept > nextReadOffset) {
      buffered.clear();
      bufferedFrom = firstKept;
    }
  }

  /**
   * Initializes the states from a peer's snapshot, unless records were already applied.
   *
   * @return whether the states were restored
   */
  public boolean initializeFrom(Snapshot snapshot) {
    if (nextOffset > 0) {
      return false;
    }
    restore(snapshot);
    return true;
  }

  private void addIfNew(LogRecord logged, List<LogRecord> newRecords) {
    if (logged.offset() < nextOffset) {
      return;
    }
    nextOffset = logged.offset() + 1;
    if (recentIds.add(logged.id())) {
      assembleSnapshot(logged);
      newRecords.add(logged);
    }
  }

  private void buffer(LogRecord logged, List<LogRecord> newRecords, Step step) {
    boolean isNew = buffered.isEmpty() || logged.offset() > buffered.getLast().offset();
    if (!isNew) {
      return;
    }
    buffered.addLast(logged);
    if (buffered.size() > MAX_BUFFERED) {
      bufferedFrom = buffered.removeFirst().offset() + 1;
    }
    assembleSnapshot(logged)
        .filter(snapshot -> snapshot.through() >= nextOffset - 1)
        .filter(snapshot -> snapshot.through() + 1 >= bufferedFrom)
        .ifPresent(snapshot -> closeGap(snapshot, newRecords, step));
  }

  private void closeGap(Snapshot snapshot, List<LogRecord> newRecords, Step step) {
    restore(snapshot);
    hasGap = false;
    step.log(EventCode.LOG_GAP_CLOSED, "through", snapshot.through());
    for (LogRecord logged : buffered) {
      addIfNew(logged, newRecords);
    }
    buffered.clear();
  }

  private void restore(Snapshot snapshot) {
    recentIds.restore(snapshot.parts(), snapshot.through());
    states.forEach(state -> state.restore(snapshot.parts(), snapshot.through()));
    nextOffset = snapshot.through() + 1;
  }

  private Optional<Snapshot> assembleSnapshot(LogRecord logged) {
    if (!(logged.body() instanceof RecordBody.SnapshotChunk chunk) || !chunk.cell().equals(cell)) {
      return Optional.empty();
    }
    Optional<Snapshot> snapshot =
        assembler.add(chunk.name(), chunk.through(), chunk.index(), chunk.count(), chunk.parts());
    if (snapshot.isPresent()) {
      newestSnapshot = Optional.of(new LogSnapshot(chunk.through(), logged.offset()));
    }
    return snapshot;
  }

  // Accessors

  /** Returns a snapshot of all states after the last applied record. */
  public Snapshot snapshot() {
    List<SnapshotPart> parts = new ArrayList<>(recentIds.snapshot());
    states.forEach(state -> parts.addAll(state.snapshot()));
    return new Snapshot(nextOffset - 1, parts);
  }

  /** Returns whether there is no gap between the applied records and those that the log keeps. */
  public boolean isCurrent() {
    return !hasGap;
  }

  /** Returns the offset after the last applied record. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the oldest offset that the log is known to retain. */
  public long firstOffset() {
    return firstOffset;
  }

  /** Returns the newest complete snapshot read from the log. */
  public Optional<LogSnapshot> newestSnapshot() {
    return newestSnapshot;
  }
}
