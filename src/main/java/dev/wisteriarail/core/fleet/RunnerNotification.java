package dev.wisteriarail.core.fleet;

/** A notification about itself that a runner sends in the headers of any response. */
public sealed interface RunnerNotification {

  /** The runner is leaving: no new request may be sent to it. */
  record Leaving() implements RunnerNotification {}

  /**
   * The runner rejected a request and asks this node to send nothing for a while.
   *
   * @param seconds the duration, as written by the runner
   */
  record RetryAfter(String seconds) implements RunnerNotification {}
}
