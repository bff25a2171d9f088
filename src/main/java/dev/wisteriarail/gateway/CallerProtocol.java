package dev.wisteriarail.gateway;

import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.WisteriarailException;
import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/** HTTP conventions of callers and the load balancer. Implementations are stateless. */
public interface CallerProtocol {

  /** Returns the path of the load balancer's readiness check. */
  String readinessPath();

  /**
   * Parses a request.
   *
   * @param exchange number of the request on this node
   * @param request the request's head
   * @param body the complete body
   * @throws WisteriarailException if a header is missing or malformed
   */
  ForwardRequest parseRequest(long exchange, Request request, byte[] body)
      throws WisteriarailException;

  /** Returns the identifier that the caller gave a request; empty if it gave none. */
  String requestId(Request request);

  /**
   * Returns the headers of a refusal.
   *
   * @param request the request's head
   * @param code the reason for the refusal
   * @param retryAfter time after which the caller should retry
   */
  HttpFields refusalHeaders(Request request, ResultCode code, Optional<Duration> retryAfter);
}
