package dev.wisteriarail.gateway;

import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.gateway.GatewayEffect;
import java.util.List;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;

/** HTTP conventions of runners. Implementations are stateless. */
public interface RunnerProtocol {

  /**
   * Sets the headers of the request to a runner.
   *
   * @param exchange the caller's request
   * @param attempt the attempt
   * @param request the request to the runner, with method, path and body
   */
  void addHeaders(CallerExchange exchange, GatewayEffect.SendAttempt attempt, Request request);

  /**
   * Parses the head of a runner's response.
   *
   * @param exchange the caller's request
   * @param attempt the attempt that the response belongs to
   * @param response the response
   */
  ResponseHead parseHead(
      CallerExchange exchange, GatewayEffect.SendAttempt attempt, Response response);

  /**
   * The head of a runner's response.
   *
   * @param status HTTP status
   * @param matchesRequest whether the response belongs to this request and not to another one
   * @param signed whether it carries the runner's signature
   * @param notRun whether the runner states that it did not execute the request
   * @param headers the headers to relay
   * @param notifications what the runner reports about its own state
   */
  record ResponseHead(
      int status,
      boolean matchesRequest,
      boolean signed,
      boolean notRun,
      HttpFields headers,
      List<RunnerNotification> notifications) {

    /** Copies the list of notifications. */
    public ResponseHead {
      notifications = List.copyOf(notifications);
    }

    /** Returns whether the status is in the 2xx range. */
    public boolean isSuccess() {
      return status >= 200 && status < 300;
    }
  }
}
