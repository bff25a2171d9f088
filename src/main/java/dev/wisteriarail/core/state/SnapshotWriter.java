package dev.wisteriarail.core.state;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Writes snapshots to the log before retention drops the records that they replace.
 *
 * <p>A snapshot is due when enough records follow the last one, when the last one is in the older
 * half of the retained log, or when it is too old. Every node's snapshot is correct, since the
 * state is a function of the log; the controller writes it so that only one node does.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class SnapshotWriter {

  /** Number of records after a snapshot at which the next one is due. */
  static final long RECORD_INTERVAL = 20_000;

  /** Number of records at which the first snapshot of a log is due. */
  static final long FIRST_SNAPSHOT_RECORDS = 100;

  /** Age of a snapshot at which a new one is due, so that time-based retention keeps one. */
  static final Duration MAX_AGE = Duration.ofMinutes(30);

  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(2);
  private static final Duration GIVE_UP_AFTER = Duration.ofSeconds(10);

  private final NodeSettings settings;
  private final Deque<Effect.Append> queue = new ArrayDeque<>();
  private Optional<Instant> lastAppendAt = Optional.empty();
  private Optional<Instant> startedAt = Optional.empty();
  private Optional<Instant> newestSeenAt = Optional.empty();
  private long newestPosition = -1;
  private long sequence;

  private SnapshotWriter(NodeSettings settings) {
    this.settings = settings;
  }

  /** Creates a writer that has not written a snapshot yet. */
  public static SnapshotWriter create(NodeSettings settings) {
    return new SnapshotWriter(settings);
  }

  // Updates

  /** Processes the outcome of an append; appends of other components are ignored. */
  public void acceptAppend(RecordId record, AppendOutcome outcome, Step step) {
    if (queue.isEmpty() || !queue.getFirst().record().equals(record)) {
      return;
    }
    switch (outcome) {
      case AppendOutcome.Appended appended -> {
        queue.removeFirst();
        sendNext(step);
      }
      case AppendOutcome.NotAppended failed -> {}
      case AppendOutcome.Unknown unknown -> {}
    }
  }

  /**
   * Starts a snapshot if one is due, or repeats an append that has not succeeded yet.
   *
   * @param isWriter whether this node is responsible for writing snapshots
   */
  public void advance(LogFollower logFollower, boolean isWriter, Step step) {
    trackNewest(logFollower, step.now());
    if (!isWriter || !logFollower.isCurrent()) {
      queue.clear();
      return;
    }
    if (queue.isEmpty()) {
      if (isDue(logFollower, step.now())) {
        start(logFollower.snapshot(), step);
      }
      return;
    }
    if (hasElapsed(startedAt, GIVE_UP_AFTER, step.now())) {
      queue.clear();
    } else if (hasElapsed(lastAppendAt, RETRY_INTERVAL, step.now())) {
      sendNext(step);
    }
  }

  private void trackNewest(LogFollower logFollower, Instant now) {
    long position = logFollower.newestSnapshot().map(LogFollower.LogSnapshot::position).orElse(-1L);
    if (position != newestPosition || newestSeenAt.isEmpty()) {
      newestPosition = position;
      newestSeenAt = Optional.of(now);
    }
  }

  private boolean isDue(LogFollower logFollower, Instant now) {
    if (startedAt.isPresent() && !hasElapsed(startedAt, GIVE_UP_AFTER, now)) {
      return false;
    }
    long through = logFollower.newestSnapshot().map(LogFollower.LogSnapshot::through).orElse(-1L);
    long first = logFollower.firstOffset();
    long threshold =
        logFollower.newestSnapshot().isPresent() ? RECORD_INTERVAL : FIRST_SNAPSHOT_RECORDS;
    boolean enoughRecords = logFollower.nextOffset() - 1 - through >= threshold;
    boolean inOlderHalf = first > 0 && through < first + (logFollower.nextOffset() - first) / 2;
    boolean tooOld = logFollower.nextOffset() > 0 && hasElapsed(newestSeenAt, MAX_AGE, now);
    return enoughRecords || inOlderHalf || tooOld;
  }

  private void start(Snapshot snapshot, Step step) {
    startedAt = Optional.of(step.now());
    sequence++;
    String name = settings.node() + "." + settings.incarnation() + ".s" + sequence;
    List<List<SnapshotPart>> chunks = snapshot.chunks();
    for (int i = 0; i < chunks.size(); i++) {
      queue.addLast(
          new Effect.Append(
              RecordId.of(name + "." + i),
              new RecordBody.SnapshotChunk(
                  settings.cell(), name, snapshot.through(), i, chunks.size(), chunks.get(i))));
    }
    step.log(EventCode.SNAPSHOT_STARTED, "through", snapshot.through(), "chunks", chunks.size());
    sendNext(step);
  }

  private void sendNext(Step step) {
    if (!queue.isEmpty()) {
      lastAppendAt = Optional.of(step.now());
      step.emit(queue.getFirst());
    }
  }

  private static boolean hasElapsed(Optional<Instant> since, Duration time, Instant now) {
    return since.filter(start -> !now.isBefore(start.plus(time))).isPresent();
  }

  // Accessors

  /** Returns when the writer needs to be advanced if no other event occurs. */
  public Optional<Instant> nextWakeUp() {
    return queue.isEmpty() ? Optional.empty() : lastAppendAt.map(last -> last.plus(RETRY_INTERVAL));
  }
}
