package dev.wisteriarail.standin;

import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;

/** Builds requests as the callers of the users' platform send them. Stateless. */
public final class CallerRequests {

  /** How long callers wait for an answer, unless they say otherwise. */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(4);

  private CallerRequests() {}

  /**
   * Returns a request that is not sent yet.
   *
   * @param http a started client
   * @param address a node's address for callers, as host and port
   * @param method HTTP method
   * @param path path with the query
   * @param model the model, with an adapter after a slash; empty text for a plain service
   * @param id the caller's name of the request
   */
  public static Request create(
      HttpClient http, String address, String method, String path, String model, String id) {
    return create(http, address, method, path, model, id, DEFAULT_TIMEOUT);
  }

  /**
   * Returns a request that is not sent yet, of a caller that waits for a time of its own.
   *
   * @param callerTimeout time in which the caller wants the whole answer
   */
  public static Request create(
      HttpClient http,
      String address,
      String method,
      String path,
      String model,
      String id,
      Duration callerTimeout) {
    Request request =
        http.newRequest("http://" + address + path)
            .method(method)
            .headers(
                headers -> {
                  headers.put("X-Wisteriarail-Request-Id", id);
                  headers.put("X-Wisteriarail-Deadline-Ms", callerTimeout.toMillis());
                  if (!model.isEmpty()) {
                    headers.put("X-Wisteriarail-Model", model);
                  }
                });
    return method.equals("POST")
        ? request.body(new StringRequestContent("text/plain", "question"))
        : request;
  }
}
