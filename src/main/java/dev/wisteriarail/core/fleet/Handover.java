package dev.wisteriarail.core.fleet;

import java.util.Map;

/**
 * What a holder of the lease on orders leaves to the next one when it gives the lease up.
 *
 * <p>All times count from when it was written. A reader that counts them from when it read them
 * waits too long rather than too short, however late the record was appended.
 *
 * @param quietMillis time in which no runner may be ordered
 * @param runnerQuietMillis the same for single runners
 * @param loads loads of models that the next holder has to count
 */
public record Handover(long quietMillis, Map<String, Long> runnerQuietMillis, LoadHistory loads) {

  /** Copies the map. */
  public Handover {
    runnerQuietMillis = Map.copyOf(runnerQuietMillis);
  }
}
