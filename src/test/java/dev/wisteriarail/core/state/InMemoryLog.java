package dev.wisteriarail.core.state;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.cell.CellState;
import dev.wisteriarail.core.config.ConfigurationState;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** An in-memory log with retention, and readers that apply its records. */
final class InMemoryLog {

  static final CellId CELL = CellId.of("main");

  private final List<LogRecord> records = new ArrayList<>();
  private int first;

  void append(String id, RecordBody body) {
    records.add(new LogRecord(records.size(), RecordId.of(id), "test", body));
  }

  void repeat(int index) {
    LogRecord earlier = records.get(index % records.size());
    append(earlier.id().value(), earlier.body());
  }

  void write(String name, Snapshot snapshot) {
    List<List<SnapshotPart>> chunks = snapshot.chunks();
    for (int i = 0; i < chunks.size(); i++) {
      append(
          name + "." + i,
          new RecordBody.SnapshotChunk(
              CELL, name, snapshot.through(), i, chunks.size(), chunks.get(i)));
    }
  }

  void dropTo(int offset) {
    first = Math.max(first, Math.min(offset, records.size()));
  }

  int size() {
    return records.size();
  }

  /** Reads a bounded number of records from an offset on, as the log service does. */
  Event.LogRead read(long from, int limit) {
    int start = (int) Math.max(from, first);
    int end = Math.min(records.size(), start + limit);
    List<LogRecord> found = start < end ? records.subList(start, end) : List.of();
    return new Event.LogRead(found, found.isEmpty() ? from : end, first);
  }

  /** Reads all records before an offset, including those dropped by retention. */
  Event.LogRead readUndropped(long to) {
    return new Event.LogRead(records.subList(0, (int) to), to, 0);
  }

  static RecordBody change(long basedOn, String section, int weight) {
    CustomerSpec customer =
        new CustomerSpec(CustomerId.of("c-" + section), List.of(), weight, 1, 1, 1, 1);
    return new RecordBody.ConfigurationChanged(
        Revision.of(basedOn),
        new Section(
            section,
            Optional.empty(),
            List.of(),
            List.of(),
            List.of(customer),
            List.of(),
            List.of(),
            List.of()),
        "author",
        "reason");
  }

  /** The replicated states of one node. */
  static final class Reader {

    final ConfigurationState configurations = ConfigurationState.create();
    final CellState cellState = CellState.create(CELL);
    final LogFollower logFollower = LogFollower.create(CELL, List.of(configurations, cellState));
    private long from;

    void accept(Event.LogRead read) {
      from = Math.max(from, read.nextOffset());
      for (LogRecord logged : logFollower.accept(read, Step.at(Instant.EPOCH))) {
        if (logged.body() instanceof RecordBody.ConfigurationChanged change) {
          configurations.apply(change, logged.offset());
        } else {
          cellState.apply(logged);
        }
      }
    }

    void readAll(InMemoryLog log) {
      while (from < log.size()) {
        accept(log.read(from, 7));
      }
    }

    long from() {
      return from;
    }
  }
}
