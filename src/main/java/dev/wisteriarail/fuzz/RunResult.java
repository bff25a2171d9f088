package dev.wisteriarail.fuzz;

import dev.wisteriarail.fuzz.oracle.Violation;
import java.util.List;
import java.util.Map;

/**
 * The result of a run.
 *
 * @param plan the executed plan
 * @param digest SHA-256 digest of the complete history
 * @param lines number of lines of the history
 * @param faults faults injected, by kind
 * @param outcomes number of requests by outcome
 * @param violations violations in order of time
 * @param history notable lines of the history
 */
public record RunResult(
    Plan plan,
    String digest,
    long lines,
    Map<FaultKind, Integer> faults,
    Map<String, Integer> outcomes,
    List<Violation> violations,
    List<String> history) {

  /** Copies the lists. */
  public RunResult {
    violations = List.copyOf(violations);
    history = List.copyOf(history);
  }
}
