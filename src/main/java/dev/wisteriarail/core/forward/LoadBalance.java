package dev.wisteriarail.core.forward;

/** Which rule selects the runner of a request. The only place where this is decided. */
public enum LoadBalance {
  /** {@link #EVEN} for services with engines in a large fleet, otherwise {@link #LEAST}. */
  DEFAULT,
  /** Requests are spread in proportion to the expected free capacity ({@link EvenChoice}). */
  EVEN,
  /** The least loaded runner is selected ({@link RunnerScoring}). */
  LEAST;

  /**
   * Returns whether {@link EvenChoice} selects the runner.
   *
   * @param engine whether the service has an engine
   * @param largeFleet whether the fleet is large, so that figures are old and many nodes choose
   */
  public boolean isEven(boolean engine, boolean largeFleet) {
    return this == EVEN || (this == DEFAULT && engine && largeFleet);
  }
}
