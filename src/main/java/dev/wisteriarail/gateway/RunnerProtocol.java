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
  void prepare(CallerExchange exchange, GatewayEffect.SendAttempt attempt, Request request);

  /**
   * Reads the head of an answer.
   *
   * @param exchange the caller's request
   * @param attempt the attempt that is answered
   * @param response the answer
   */
  AnswerHead read(CallerExchange exchange, GatewayEffect.SendAttempt attempt, Response response);

  /**
   * What the head of a runner's answer says.
   *
   * @param status HTTP status
   * @param forThisRequest whether it answers this request and not another one
   * @param signed whether it bears the runner's signature
   * @param notRun whether the runner says that it did not run the request
   * @param headers the headers to pass on
   * @param words what the runner says of itself
   */
  record AnswerHead(
      int status,
      boolean forThisRequest,
      boolean signed,
      boolean notRun,
      HttpFields headers,
      List<RunnerNotification> words) {

    /** Copies the list. */
    public AnswerHead {
      words = List.copyOf(words);
    }

    /** Returns whether the status tells success. */
    public boolean isSuccess() {
      return status >= 200 && status < 300;
    }
  }
}
