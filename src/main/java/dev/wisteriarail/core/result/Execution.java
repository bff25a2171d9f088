package dev.wisteriarail.core.result;

/** Whether a request was executed, as far as is known. */
public enum Execution {
  /** No byte of the request was sent to a backend server. */
  NOT_RUN("not run"),
  /** The request was sent to a backend server, and its outcome is unknown. */
  MAY_HAVE_RUN("may have run"),
  /** The backend server answered. */
  RAN("ran");

  private final String label;

  Execution(String label) {
    this.label = label;
  }

  /** Returns the text used in responses to callers. */
  public String label() {
    return label;
  }
}
