package dev.wisteriarail.replay;

/**
 * One fault that is put on the stand-ins during a replay.
 *
 * @param atMs start, in milliseconds from the start of the trace
 * @param forMs length, in milliseconds
 * @param fault {@code log-outage}, {@code slow-weight-store} or {@code runner-lost}
 * @param runner the runner that is lost, or null
 * @param factor by how much loads from the weight store take longer; 0 where not used
 */
public record FaultLine(long atMs, long forMs, String fault, String runner, double factor) {

  /** The log takes no append and no read. */
  public static final String LOG_OUTAGE = "log-outage";

  /** Each load from the weight store takes longer by a factor. */
  public static final String SLOW_WEIGHT_STORE = "slow-weight-store";

  /** A runner crashes, loses its replicas and comes back empty. */
  public static final String RUNNER_LOST = "runner-lost";
}
