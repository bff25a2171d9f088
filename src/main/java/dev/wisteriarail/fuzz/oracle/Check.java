package dev.wisteriarail.fuzz.oracle;

import java.time.Instant;

/** One promise. Not thread-safe; one run owns it. */
interface Check {

  /** Returns the check's name, as it stands in docs/PROMISES.md. */
  String name();

  /** Takes one observation, in order of time, and reports what breaks the promise. */
  void observe(Instant at, Observation observation, ViolationReporter complaints);
}
