package dev.wisteriarail.demo;

import dev.wisteriarail.node.Node;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.HdrHistogram.Histogram;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;

/** Client that sends the requests of a caller to nodes of the demo. Thread-safe. */
final class DemoCaller {

  private static final Logger LOGGER = LogManager.getLogger(DemoCaller.class);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
  private static final int STATUS_OK = 200;

  private final HttpClient http;
  private final String token;

  DemoCaller(HttpClient http, String token) {
    this.http = http;
    this.token = token;
  }

  /** Requests a completion; returns whether the complete answer to this prompt was received. */
  boolean requestCompletion(Node node, String model, String prompt, Histogram millis) {
    long start = System.nanoTime();
    String body = "{\"model\":\"%s\",\"max_tokens\":8,\"prompt\":\"%s\"}".formatted(model, prompt);
    Optional<ContentResponse> response =
        post(node, "/v1/completions", "fault-summary", Optional.empty(), body);
    synchronized (millis) {
      millis.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
    }
    return response
        .filter(answer -> answer.getStatus() == STATUS_OK)
        .map(ContentResponse::getContentAsString)
        .filter(text -> text.contains(prompt) && text.contains(" t7"))
        .isPresent();
  }

  /** Posts a request of the given kind; returns empty if no answer was received. */
  Optional<ContentResponse> post(
      Node node, String path, String kind, Optional<String> key, String body) {
    Request request =
        http.POST(node.address() + path)
            .headers(
                headers ->
                    headers.put("Authorization", "Bearer " + token).put("X-Request-Kind", kind))
            .body(new StringRequestContent("application/json", body))
            .timeout(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    key.ifPresent(value -> request.headers(headers -> headers.put("Idempotency-Key", value)));
    try {
      return Optional.of(request.send());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    } catch (TimeoutException | ExecutionException failure) {
      LOGGER.warn("no answer from {}{}", node.address(), path, failure);
      return Optional.empty();
    }
  }
}
