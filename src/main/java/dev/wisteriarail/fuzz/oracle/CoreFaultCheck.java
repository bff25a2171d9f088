package dev.wisteriarail.fuzz.oracle;

import java.time.Instant;

/** Checks that a node's core handles any event in any state without an exception. */
final class CoreFaultCheck implements Check {

  @Override
  public String name() {
    return "core-fault";
  }

  @Override
  public void observe(Instant at, Observation observation, ViolationReporter reporter) {
    if (observation instanceof Observation.CoreFault fault) {
      reporter.report(fault.node() + " threw " + fault.fault());
    }
  }
}
