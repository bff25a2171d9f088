package dev.wisteriarail.core.fleet;

/** What a runner says of itself in the head of any answer, besides the answer. */
public sealed interface RunnerNotification {

  /** It leaves: no new request may be sent to it. */
  record Leaving() implements RunnerNotification {}

  /**
   * It turned a request away and wants nothing from this node for a while.
   *
   * @param seconds how long, as the runner wrote it
   */
  record RetryAfter(String seconds) implements RunnerNotification {}
}
