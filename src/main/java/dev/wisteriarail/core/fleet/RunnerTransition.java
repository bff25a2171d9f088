package dev.wisteriarail.core.fleet;

/**
 * A state change of one runner.
 *
 * @param entry its latest entry, or the last one before its removal
 * @param kind the kind of change
 */
public record RunnerTransition(RunnerEntry entry, Kind kind) {

  /** The kind of change. */
  public enum Kind {
    /** A run of the runner was seen for the first time. */
    JOINED,
    /** The runner is leaving. */
    DRAINING,
    /** Its entry was removed. */
    REMOVED
  }
}
