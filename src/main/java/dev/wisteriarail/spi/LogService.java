package dev.wisteriarail.spi;

import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.result.PlatformException;
import java.time.Duration;

/** The platform's append-only log. Thread-safe; calls block. */
public interface LogService {

  /** Appends a record and returns what is known of the outcome. */
  AppendOutcome append(RecordId record, String writer, RecordBody body);

  /**
   * Reads records from an offset on.
   *
   * @param from the first offset wanted
   * @param wait how long the service may hold the call while there is nothing to read
   * @throws PlatformException if the log cannot be read
   */
  LogBatch read(long from, Duration wait) throws PlatformException;
}
