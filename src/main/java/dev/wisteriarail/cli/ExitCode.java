package dev.wisteriarail.cli;

/** Exit statuses of the binary. docs/CLI.md lists them. */
public enum ExitCode {
  /** Done. */
  SUCCESS(0),
  /** A check failed or an outcome was wrong. */
  FAILED(1),
  /** The command line is wrong. */
  USAGE(2),
  /** A setting, an answer or a file is wrong. */
  INVALID_INPUT(3),
  /** The platform or a node could not be reached. */
  UNAVAILABLE(4),
  /** An internal error. */
  INTERNAL(70);

  private final int status;

  ExitCode(int status) {
    this.status = status;
  }

  /** Returns the process exit status. */
  public int status() {
    return status;
  }
}
