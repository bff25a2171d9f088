package dev.wisteriarail.core.fleet;

/**
 * A change in what is known of one runner.
 *
 * @param entry its newest entry, or the last one that it had
 * @param kind what changed
 */
public record RunnerTransition(RunnerEntry entry, Kind kind) {

  /** What changed. */
  public enum Kind {
    /** A run of the runner was seen for the first time. */
    JOINED,
    /** The runner leaves. */
    DRAINING,
    /** Its entry was removed. */
    REMOVED
  }
}
