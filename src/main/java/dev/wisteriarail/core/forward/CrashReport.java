package dev.wisteriarail.core.forward;

import java.util.List;

/**
 * A request whose connection ended before its response was complete, as sent to peers. Its runner
 * may have crashed on it.
 *
 * @param loss the loss of the connection
 * @param sentAgeMillis time since the request was sent to the runner
 * @param traits the traits of the request that may have caused the crash
 */
public record CrashReport(RunnerLoss loss, long sentAgeMillis, List<RequestTrait> traits) {

  /** Copies the list. */
  public CrashReport {
    traits = List.copyOf(traits);
  }
}
