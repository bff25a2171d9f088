package dev.wisteriarail.replay;

/**
 * One fault that is injected during a replay, as a line of the faults file.
 *
 * @param atMs start, in milliseconds from the start of the trace
 * @param forMs duration, in milliseconds
 * @param fault {@code log-outage}, {@code slow-weight-store} or {@code runner-lost}
 * @param runner the runner that is lost, or null
 * @param factor factor by which loads from the weight store take longer; 0 for other faults
 */
public record FaultLine(long atMs, long forMs, String fault, String runner, double factor) {

  /** The log refuses appends and reads. */
  public static final String LOG_OUTAGE = "log-outage";

  /** Each load from the weight store takes longer by a factor. */
  public static final String SLOW_WEIGHT_STORE = "slow-weight-store";

  /** A runner crashes, loses its replicas and restarts empty. */
  public static final String RUNNER_LOST = "runner-lost";
}
