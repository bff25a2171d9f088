package dev.wisteriarail.core.fleet;

/**
 * One run of a runner.
 *
 * @param id the runner's identifier
 * @param bornMillis time of its start, in Unix milliseconds; 0 if unknown
 */
public record RunnerRun(String id, long bornMillis) {

  /** Returns the run that an entry describes. */
  public static RunnerRun of(RunnerEntry entry) {
    return new RunnerRun(entry.id(), entry.bornMillis());
  }
}
