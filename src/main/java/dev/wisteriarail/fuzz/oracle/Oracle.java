package dev.wisteriarail.fuzz.oracle;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Applies all checks to the observations of a run.
 *
 * <p>Life cycle: one per run. Not thread-safe.
 */
public final class Oracle {

  /** Violations kept per check; further ones rarely add information. */
  private static final int MAX_VIOLATIONS_PER_CHECK = 3;

  private final List<Check> checks;
  private final List<Violation> violations = new ArrayList<>();

  private Oracle(List<Check> checks) {
    this.checks = checks;
  }

  /** Returns an oracle without observations. */
  public static Oracle create() {
    return new Oracle(
        List.of(
            new ReplicaCheck(),
            new MemoryCheck(),
            new OutcomeCheck(),
            new AnswerCheck(),
            new NotRunCheck(),
            new AtMostOnceCheck(),
            new LeavingCheck(),
            new DrainCheck(),
            new ConfigurationCheck(),
            new CoreFaultCheck(),
            new RecoveryCheck()));
  }

  /** Processes the next observation in order of time. */
  public void observe(Instant at, Observation observation) {
    for (Check check : checks) {
      check.observe(at, observation, detail -> add(new Violation(check.name(), at, detail)));
    }
  }

  /** Returns the violations in order of time. */
  public List<Violation> violations() {
    return Collections.unmodifiableList(violations);
  }

  private void add(Violation violation) {
    long reported =
        violations.stream().filter(other -> other.check().equals(violation.check())).count();
    if (reported < MAX_VIOLATIONS_PER_CHECK) {
      violations.add(violation);
    }
  }
}
