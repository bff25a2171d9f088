package dev.wisteriarail.gateway;

import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.WisteriarailException;
import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/** The names and formats in which callers and the balancer speak. Implementations are stateless. */
public interface CallerProtocol {

  /** Returns the path at which the balancer asks whether the node takes callers. */
  String readinessPath();

  /**
   * Reads a request.
   *
   * @param exchange number of the request on this node
   * @param request its head
   * @param body its whole body
   * @throws WisteriarailException if a header is missing or malformed
   */
  ForwardRequest parseRequest(long exchange, Request request, byte[] body)
      throws WisteriarailException;

  /**
   * Returns the headers of a refusal.
   *
   * @param request the request's head
   * @param code why it is refused
   * @param retryAfter when the caller should come back
   */
  HttpFields refusalHeaders(Request request, ResultCode code, Optional<Duration> retryAfter);
}
