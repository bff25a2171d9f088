package dev.wisteriarail.gateway;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.WisteriarailException;

/** Thrown if a caller's request is malformed. */
public final class RequestException extends WisteriarailException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param code numbered result code
   * @param location the header or part that is wrong
   * @param problem what is wrong with it
   */
  public RequestException(ResultCode code, String location, String problem) {
    super(code, location, problem, null);
  }
}
