package dev.wisteriarail.fuzz.oracle;

import java.time.Instant;

/** Checks one promise of the system. Used by a single run; not thread-safe. */
interface Check {

  /** Returns the name of the check in docs/PROMISES.md. */
  String name();

  /** Processes the next observation in order of time and reports violations. */
  void observe(Instant at, Observation observation, ViolationReporter reporter);
}
