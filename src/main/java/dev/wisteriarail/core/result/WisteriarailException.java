package dev.wisteriarail.core.result;

/**
 * Base class of the checked exceptions, with a result code, a message and a location.
 *
 * <p>The location is a path such as {@code node.toml: peer.port} or {@code runner r03}. It is empty
 * if the failure has no specific location.
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

  /** Returns the result code. */
  public ResultCode code() {
    return code;
  }

  /** Returns the location of the failure; may be empty. */
  public String location() {
    return location;
  }

  /** Returns the code, location and message on one line. */
  public String describe() {
    String prefix = location.isEmpty() ? "" : location + ": ";
    return code.label() + " " + prefix + getMessage();
  }
}
