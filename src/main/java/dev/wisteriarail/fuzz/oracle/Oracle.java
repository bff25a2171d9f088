package dev.wisteriarail.fuzz.oracle;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Judges a run by all checks.
 *
 * <p>Life cycle: one per run. Not thread-safe.
 */
public final class Oracle {

  /** Violations of one check that a run keeps; those that follow tell nothing new. */
  private static final int MAX_VIOLATIONS_PER_CHECK = 3;

  private final List<Check> checks;
  private final List<Violation> violations = new ArrayList<>();

  private Oracle(List<Check> checks) {
    this.checks = checks;
  }

  /** Returns an oracle that has seen nothing yet. */
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

  /** Takes one observation, in order of time. */
  public void observe(Instant at, Observation observation) {
    for (Check check : checks) {
      check.observe(at, observation, detail -> add(new Violation(check.name(), at, detail)));
    }
  }

  /** Returns what was broken, in order of time. */
  public List<Violation> violations() {
    return Collections.unmodifiableList(violations);
  }

  private void add(Violation violation) {
    long known =
        violations.stream().filter(other -> other.check().equals(violation.check())).count();
    if (known < MAX_VIOLATIONS_PER_CHECK) {
      violations.add(violation);
    }
  }
}
