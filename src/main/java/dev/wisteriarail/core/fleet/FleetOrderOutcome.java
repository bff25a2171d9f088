package dev.wisteriarail.core.fleet;

/** What became of an order to a runner. */
public enum FleetOrderOutcome {
  /** The runner carries it out. */
  ACCEPTED,
  /** What was ordered holds already, or held at once. */
  ALREADY_DONE,
  /** Another order is in progress, or the runner accepted orders that the sender did not count. */
  CONFLICT,
  /** The runner has seen a higher fencing number. */
  FENCED,
  /** The runner refused the order for another reason; nothing was done. */
  REFUSED,
  /** Nothing was sent: the runner could not be reached. */
  UNREACHABLE,
  /** No answer: the order may have been accepted, or may be carried out later. */
  UNKNOWN
}
