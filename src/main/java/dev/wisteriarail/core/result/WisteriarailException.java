package dev.wisteriarail.core.result;

/**
 * Root of the checked exceptions: a numbered code, a message, and the location it concerns.
 *
 * <p>The location is a path such as {@code node.toml: peer.port} or {@code runner r03}; it is empty
 * where the failure concerns no single place.
 */
public class WisteriarailException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ResultCode code;
  private final String location;

  /** Creates an exception without a cause. */
  public WisteriarailException(ResultCode code, String location, String message) {
    this(code, location, message, null);
  }

  /** Creates an exception with its cause. */
  public WisteriarailException(ResultCode code, String location, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
    this.location = location;
  }

  // Accessors

  /** Returns the numbered code. */
  public ResultCode code() {
    return code;
  }

  /** Returns the place that the failure concerns; may be empty. */
  public String location() {
    return location;
  }

  /** Returns code, location and message on one line. */
  public String describe() {
    String prefix = location.isEmpty() ? "" : location + ": ";
    return code.label() + " " + prefix + getMessage();
  }
}
