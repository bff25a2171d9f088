package dev.wisteriarail.core.result;

/** Thrown when the settings, the answers or the command line are invalid. */
public final class SettingsException extends WisteriarailException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public SettingsException(ResultCode code, String location, String message) {
    super(code, location, message);
  }

  /** Creates an exception with its cause. */
  public SettingsException(ResultCode code, String location, String message, Throwable cause) {
    super(code, location, message, cause);
  }
}
