package dev.wisteriarail.fuzz;

import dev.wisteriarail.fuzz.oracle.Violation;
import java.util.List;
import java.util.Map;

/**
 * What one run came to.
 *
 * @param plan what was done
 * @param digest SHA-256 of the whole history
 * @param lines number of lines of the history
 * @param faults faults injected, by kind
 * @param outcomes endings that callers got, by name
 * @param violations broken promises in order of time
 * @param history notable lines
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
