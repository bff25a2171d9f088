package dev.wisteriarail.fuzz.oracle;

import java.time.Instant;

/** A node's core takes any event in any state without an exception. */
final class CoreFaultCheck implements Check {

  @Override
  public String name() {
    return "core-fault";
  }

  @Override
  public void observe(Instant at, Observation observation, ViolationReporter complaints) {
    if (observation instanceof Observation.CoreFault fault) {
      complaints.report(fault.node() + " threw " + fault.fault());
    }
  }
}
