package dev.wisteriarail.core.result;

/** Thrown when a part of the platform fails: the log service, the VM list or an engine. */
public final class PlatformException extends WisteriarailException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public PlatformException(ResultCode code, String location, String message) {
    super(code, location, message);
  }

  /** Creates an exception with its cause. */
  public PlatformException(ResultCode code, String location, String message, Throwable cause) {
    super(code, location, message, cause);
  }
}
