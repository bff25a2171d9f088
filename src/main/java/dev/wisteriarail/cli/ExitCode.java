package dev.wisteriarail.cli;

/** Exit statuses of the binary, as documented in docs/CLI.md. */
public enum ExitCode {
  /** The command succeeded. */
  SUCCESS(0),
  /** A check failed or an outcome differed from the expected one. */
  FAILED(1),
  /** The command line is invalid. */
  USAGE(2),
  /** A setting, an answer or a file is invalid. */
  INVALID_INPUT(3),
  /** The platform or a node is unreachable. */
  UNAVAILABLE(4),
  /** An internal error occurred. */
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
