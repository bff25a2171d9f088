package dev.wisteriarail.core.result;

/** Says whether a request's work ran, as far as is known. */
public enum Execution {
  /** No byte of the request was handed to a backend server. */
  NOT_RUN("not run"),
  /** The request was handed over and its outcome is not known. */
  MAY_HAVE_RUN("may have run"),
  /** The backend server answered. */
  RAN("ran");

  private final String label;

  Execution(String label) {
    this.label = label;
  }

  /** Returns the wording used in answers to callers. */
  public String label() {
    return label;
  }
}
