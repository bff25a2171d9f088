package dev.wisteriarail.fuzz.oracle;

/** Takes what a check found. */
interface ViolationReporter {

  /** Reports that the promise is broken. */
  void report(String detail);
}
