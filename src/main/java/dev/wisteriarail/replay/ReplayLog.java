package dev.wisteriarail.replay;

import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import java.util.ArrayList;
import java.util.List;

/**
 * A fake of the platform's log service, which keeps all records and can be down. Not thread-safe.
 */
final class ReplayLog {

  private final List<LogRecord> records = new ArrayList<>();
  private boolean down;

  /** Appends a record. */
  void append(RecordId id, String writer, RecordBody body) {
    records.add(new LogRecord(records.size(), id, writer, body));
  }

  /** Returns the records from the given offset on. */
  List<LogRecord> from(long offset) {
    return List.copyOf(records.subList((int) offset, records.size()));
  }

  /** Returns the offset of the next record. */
  long nextOffset() {
    return records.size();
  }

  boolean isDown() {
    return down;
  }

  void setDown(boolean isDown) {
    down = isDown;
  }
}
