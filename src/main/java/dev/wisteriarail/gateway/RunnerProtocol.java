package dev.wisteriarail.gateway;

import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.gateway.GatewayEffect;
import java.util.List;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;

/** The names and formats in which runners take requests. Implementations are stateless. */
public interface RunnerProtocol {

  /**
   * Puts the headers of an attempt into a request.
   *
   * @param exchange the caller's request
   * @param attempt the attempt
   * @param request the request to the runner, with method, path and body
   */
  void addHeaders(CallerExchange exchange, GatewayEffect.SendAttempt attempt, Request request);

  /**
   * Reads the head of an answer.
   *
   * @param exchange the caller's request
   * @param attempt the attempt that is answered
   * @param response the answer
   */
  ResponseHead parseHead(
      CallerExchange exchange, GatewayEffect.SendAttempt attempt, Response response);

  /**
   * What the head of a runner's answer says.
   *
   * @param status HTTP status
   * @param matchesRequest whether it answers this request and not another one
   * @param signed whether it bears the runner's signature
   * @param notRun whether the runner says that it did not run the request
   * @param headers the headers to pass on
   * @param notifications what the runner says of itself
   */
  record ResponseHead(
      int status,
      boolean matchesRequest,
      boolean signed,
      boolean notRun,
      HttpFields headers,
      List<RunnerNotification> notifications) {

    /** Copies the list. */
    public ResponseHead {
      notifications = List.copyOf(notifications);
    }

    /** Returns whether the status tells success. */
    public boolean isSuccess() {
      return status >= 200 && status < 300;
    }
  }
}
