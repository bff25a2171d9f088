package dev.wisteriarail.core.fleet;

/** Outcome of an order to a runner. The names of the constants are written to the log. */
public enum FleetOrderOutcome {
  /** The runner accepted the order and executes it. */
  ACCEPTED,
  /** The ordered state was already in effect or took effect immediately. */
  HOLDS,
  /**
   * Another order is in progress, or the runner has accepted orders that the sender did not count.
   */
  CONFLICT,
  /** The runner has seen a higher fencing number. */
  FENCED,
  /** The runner refused the order for another reason and changed nothing. */
  REFUSED,
  /** The order was not sent because the runner could not be reached. */
  UNREACHABLE,
  /** No answer was received: the order may have been accepted or may still be executed. */
  UNKNOWN
}
