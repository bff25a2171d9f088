package dev.wisteriarail.answers;

import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.spi.LogBatch;
import dev.wisteriarail.spi.LogService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A log in memory. It can lose the answer to an append that took effect, lose the record itself, or
 * refuse the append.
 */
final class MemoryLog implements LogService {

  /** The fault of the next append. */
  enum Fault {
    NONE,
    ANSWER_LOST,
    RECORD_LOST,
    REFUSED
  }

  private final List<LogRecord> records = new ArrayList<>();
  private Fault next = Fault.NONE;
  private int appends;

  void failNext(Fault fault) {
    next = fault;
  }

  int appends() {
    return appends;
  }

  @Override
  public AppendOutcome append(RecordId record, String writer, RecordBody body) {
    Fault fault = next;
    next = Fault.NONE;
    appends++;
    if (fault == Fault.REFUSED) {
      return new AppendOutcome.NotAppended("refused");
    }
    if (fault != Fault.RECORD_LOST) {
      records.add(new LogRecord(records.size(), record, writer, body));
    }
    return fault == Fault.NONE
        ? new AppendOutcome.Appended(records.size() - 1)
        : new AppendOutcome.Unknown("answer lost");
  }

  @Override
  public LogBatch read(long from, Duration wait) {
    int start = (int) Math.min(from, records.size());
    return new LogBatch(records.subList(start, records.size()), records.size(), 0);
  }
}
