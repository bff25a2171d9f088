package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.id.LogPosition;
import java.time.Duration;

/** A read of the platform's store. The names of the records are written to the log. */
public sealed interface StoreRead {

  /** Reads the newest configuration. */
  record NewestConfiguration() implements StoreRead {}

  /**
   * Waits for a newer configuration.
   *
   * @param from position of the first record that is not known yet
   * @param maxWait how long the store waits for such a record
   */
  record NextConfiguration(LogPosition from, Duration maxWait) implements StoreRead {}

  /** Reads the complete directory of runners. */
  record WholeDirectory() implements StoreRead {}

  /**
   * Reads changes to the directory of runners.
   *
   * @param from position of the first record that is not known yet
   */
  record DirectoryChanges(LogPosition from) implements StoreRead {}

  /** Reads the addresses of nodes. */
  record Nodes() implements StoreRead {}

  /** Reads which requests are refused because they crash runners. */
  record CrashRefusals() implements StoreRead {}
}
