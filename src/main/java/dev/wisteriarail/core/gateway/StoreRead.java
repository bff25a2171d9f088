package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.id.LogPosition;
import java.time.Duration;

/** A read of the platform's store. */
public sealed interface StoreRead {

  /** Reads the newest configuration. */
  record NewestConfiguration() implements StoreRead {}

  /**
   * Waits for a later configuration.
   *
   * @param from place of the first record not known yet
   * @param maxWait how long to wait for it
   */
  record NextConfiguration(LogPosition from, Duration maxWait) implements StoreRead {}

  /** Reads the whole directory of runners. */
  record WholeDirectory() implements StoreRead {}

  /**
   * Reads what changed in the directory of runners.
   *
   * @param from place of the first record not known yet
   */
  record DirectoryChanges(LogPosition from) implements StoreRead {}

  /** Reads the addresses of nodes. */
  record Nodes() implements StoreRead {}
}
