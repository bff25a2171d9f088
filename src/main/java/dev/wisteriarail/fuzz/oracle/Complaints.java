package dev.wisteriarail.fuzz.oracle;

/** Takes what a check found. */
interface Complaints {

  /** Reports that the promise is broken. */
  void add(String detail);
}
