package dev.wisteriarail.answers;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.cell.CellState;
import dev.wisteriarail.core.config.ChangeOutcome;
import dev.wisteriarail.core.config.ConfigurationState;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody.ConfigurationChanged;
import dev.wisteriarail.core.result.PlatformException;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.state.LogFollower;
import dev.wisteriarail.spi.LogBatch;
import dev.wisteriarail.spi.LogService;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads the log for tools. It applies the records to the same replicated state as a node and
 * therefore accepts and rejects the same changes.
 *
 * <p>Keeps every configuration change that it has read, with the outcome. Not thread-safe.
 */
public final class LogReader {

  /**
   * A configuration change and its outcome.
   *
   * @param offset its position in the log
   * @param id identifier of its record
   * @param change the change
   * @param outcome whether it was accepted
   */
  public record Change(
      long offset, RecordId id, ConfigurationChanged change, ChangeOutcome outcome) {

    /** Returns whether the change was accepted; a later one may have replaced it. */
    public boolean isAccepted() {
      return outcome instanceof ChangeOutcome.Accepted;
    }
  }

  /** Receives each record before it is applied to the state. */
  @FunctionalInterface
  public interface Listener {

    /** Receives a record; the reader still holds the state before it. */
    void accept(LogRecord logged);
  }

  private final LogService log;
  private final Listener listener;
  private final ConfigurationState configurationState = ConfigurationState.create();
  private final CellState cellState;
  private final LogFollower follower;
  private final List<Change> changes = new ArrayList<>();
  private long nextOffset;

  private LogReader(LogService log, CellId cellId, Listener listener) {
    this.log = log;
    this.listener = listener;
    cellState = CellState.create(cellId);
    follower = LogFollower.create(cellId, List.of(configurationState, cellState));
  }

  /** Returns a reader that has read nothing yet. */
  public static LogReader create(LogService log, CellId cell) {
    return new LogReader(log, cell, logged -> {});
  }

  /** Returns a reader that passes each record to a listener before applying it. */
  public static LogReader create(LogService log, CellId cell, Listener listener) {
    return new LogReader(log, cell, listener);
  }

  // Reading

  /**
   * Reads to the end of the log.
   *
   * @throws PlatformException if the log cannot be read, or has dropped records that no snapshot
   *     covers
   */
  public void readToEnd() throws PlatformException {
    while (readOnce(Duration.ZERO)) {
      // Each call reads one batch.
    }
    if (!follower.isCurrent()) {
      throw new PlatformException(
          ResultCode.LOG_RECORDS_DROPPED,
          "offset " + follower.firstOffset(),
          "no snapshot covers the dropped records; wait for the controller to write one");
    }
  }

  /**
   * Reads until the log contains a configuration change.
   *
   * @param maxIdleReads maximum number of reads that return nothing new, each of about 500 ms
   * @return the change with its outcome; empty if the log does not contain it
   * @throws PlatformException if the log cannot be read
   */
  public Optional<Change> await(RecordId id, int maxIdleReads) throws PlatformException {
    int idle = 0;
    while (find(id).isEmpty() && idle < maxIdleReads) {
      idle += readOnce(Duration.ofMillis(500)) ? 0 : 1;
    }
    return find(id);
  }

  private boolean readOnce(Duration wait) throws PlatformException {
    LogBatch batch = log.read(nextOffset, wait);
    Event.LogRead read =
        new Event.LogRead(batch.records(), batch.nextOffset(), batch.firstOffset());
    for (LogRecord logged : follower.accept(read, Step.at(Instant.EPOCH))) {
      apply(logged);
    }
    boolean moved = batch.nextOffset() > nextOffset;
    nextOffset = Math.max(nextOffset, batch.nextOffset());
    return moved;
  }

  private void apply(LogRecord logged) {
    listener.accept(logged);
    if (logged.body() instanceof ConfigurationChanged change) {
      ChangeOutcome outcome = configurationState.apply(change, logged.offset());
      changes.add(new Change(logged.offset(), logged.id(), change, outcome));
    } else {
      cellState.apply(logged);
    }
  }

  private Optional<Change> find(RecordId id) {
    return changes.stream().filter(change -> change.id().equals(id)).findFirst();
  }

  // Accessors

  /** Returns the changes that were read, accepted and rejected, in order. */
  public List<Change> changes() {
    return List.copyOf(changes);
  }

  /** Returns the state of the configuration. */
  public ConfigurationState configurationState() {
    return configurationState;
  }

  /** Returns the state of the cell. */
  public CellState cellState() {
    return cellState;
  }

  /** Returns the follower of the log, which knows the offsets read. */
  public LogFollower follower() {
    return follower;
  }
}
