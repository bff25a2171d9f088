package dev.wisteriarail.core.fleet;

import java.util.Map;

/**
 * The information that a holder of the order lease passes to its successor when it releases the
 * lease.
 *
 * <p>All times count from when the record was written. A successor that counts them from when it
 * read the record waits too long rather than too short, however late the record was appended.
 *
 * @param quietMillis time during which no runner may receive orders
 * @param runnerQuietMillis the same for individual runners
 * @param loads loads of models that the successor has to take into account
 */
public record Handover(long quietMillis, Map<String, Long> runnerQuietMillis, LoadHistory loads) {

  /** Copies the map. */
  public Handover {
    runnerQuietMillis = Map.copyOf(runnerQuietMillis);
  }
}
