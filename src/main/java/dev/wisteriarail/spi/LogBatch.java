package dev.wisteriarail.spi;

import dev.wisteriarail.core.log.LogRecord;
import java.util.List;

/**
 * Records returned by one read of the log.
 *
 * @param records the records in order of their offsets; may be empty
 * @param nextOffset the offset to read from next
 * @param firstOffset the oldest offset that the log still holds
 */
public record LogBatch(List<LogRecord> records, long nextOffset, long firstOffset) {

  /** Copies the list. */
  public LogBatch {
    records = List.copyOf(records);
  }
}
