package dev.wisteriarail.standin;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;

/** Creates requests in the form that callers of the users' platform send. Stateless. */
public final class CallerRequests {

  /** Default time for which callers wait for the complete answer. */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(4);

  private CallerRequests() {}

  /**
   * Creates a request with the default timeout and does not send it.
   *
   * @param http a started client
   * @param address a node's address for callers, as host and port
   * @param method HTTP method
   * @param path path with the query
   * @param model the model, optionally followed by a slash and an adapter; empty for a plain
   *     service
   * @param id the caller's request identifier
   */
  public static Request create(
      HttpClient http, String address, String method, String path, String model, String id) {
    return create(http, address, method, path, model, id, DEFAULT_TIMEOUT);
  }

  /**
   * Creates a request with the given timeout and does not send it.
   *
   * @param callerTimeout time in which the caller expects the complete answer
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
    return withBody(request, method);
  }

  /** Returns a request with the given parts in its prompt; none has tokens worth counting. */
  public static Request withPrompt(Request request, List<String> parts) {
    String prefix = parts.stream().map(part -> part + ":1").collect(Collectors.joining(","));
    return request.headers(headers -> headers.put("X-Wisteriarail-Prompt-Prefix", prefix));
  }

  private static Request withBody(Request request, String method) {
    return method.equals("POST")
        ? request.body(new StringRequestContent("text/plain", "question"))
        : request;
  }
}
