package dev.wisteriarail.fuzz.oracle;

/** Receives the violations that a check finds. */
interface ViolationReporter {

  /** Reports a violation. */
  void report(String detail);
}
