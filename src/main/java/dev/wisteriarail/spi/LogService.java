package dev.wisteriarail.spi;

import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.result.PlatformException;
import java.time.Duration;

/** Client of the platform's append-only log. Thread-safe; calls block. */
public interface LogService {

  /** Appends a record and returns the outcome, which may be unknown. */
  AppendOutcome append(RecordId record, String writer, RecordBody body);

  /**
   * Reads records, starting at an offset.
   *
   * @param from the first offset to read
   * @param wait maximum time that the service holds the call open while there is nothing to read
   * @throws PlatformException if the log cannot be read
   */
  LogBatch read(long from, Duration wait) throws PlatformException;
}
