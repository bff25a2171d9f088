package dev.wisteriarail.core.result;

/** Thrown when the connection to a peer fails. */
public final class PeerException extends WisteriarailException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public PeerException(ResultCode code, String location, String message) {
    super(code, location, message);
  }

  /** Creates an exception with its cause. */
  public PeerException(ResultCode code, String location, String message, Throwable cause) {
    super(code, location, message, cause);
  }
}
