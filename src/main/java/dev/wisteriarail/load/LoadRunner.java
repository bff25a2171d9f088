package dev.wisteriarail.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.wisteriarail.codec.Codecs;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpFields;

/**
 * Sends the calls of a load plan and collects latencies and outcomes per caller.
 *
 * <p>Latencies are measured from the time at which a call is due, so that a stall of the sender
 * shows up in the results. Use an instance for one run only. Not thread-safe.
 */
public final class LoadRunner {

  private static final int STATUS_OK = 200;
  private static final String STREAM_END = "data: [DONE]";

  private final HttpClient http;
  private final LoadSetup setup;
  private final List<CallerResult> results = new ArrayList<>();

  private LoadRunner(HttpClient http, LoadSetup setup) {
    this.http = http;
    this.setup = setup;
    setup.tokens().forEach(token -> results.add(new CallerResult()));
  }

  /** Returns a runner that has not sent any call yet. */
  public static LoadRunner create(HttpClient http, LoadSetup setup) {
    return new LoadRunner(http, setup);
  }

  /**
   * Sends all calls and waits until each has completed or failed.
   *
   * @return one result per caller, in the order of the tokens
   */
  public List<CallerResult> run(List<PlannedCall> calls) throws InterruptedException {
    CountDownLatch pendingCalls = new CountDownLatch(calls.size());
    long start = System.nanoTime();
    for (PlannedCall call : calls) {
      long dueNanos = start + call.startOffset().toNanos();
      TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
      send(call, dueNanos, pendingCalls);
    }
    pendingCalls.await();
    return List.copyOf(results);
  }

  private void send(PlannedCall call, long dueNanos, CountDownLatch pendingCalls) {
    CallerResult result = results.get(call.caller());
    AtomicBoolean started = new AtomicBoolean();
    createRequest(call)
        .onResponseContent(
            (response, content) -> {
              if (response.getStatus() == STATUS_OK && started.compareAndSet(false, true)) {
                result.recordFirstToken(microsSince(dueNanos));
              }
            })
        .send(
            new BufferingResponseListener() {
              @Override
              public void onComplete(Result ended) {
                result.recordTotal(microsSince(dueNanos));
                result.recordOutcome(outcome(ended, getContentAsString()));
                pendingCalls.countDown();
              }
            });
  }

  private Request createRequest(PlannedCall call) {
    String target = setup.targets().get(call.target());
    String path = setup.callServices() ? "/services/" + call.model() + "/run" : "/v1/completions";
    Request request =
        http.POST(target + path)
            .headers(headers -> addHeaders(headers, call))
            .body(new StringRequestContent("application/json", body(call)))
            .timeout(setup.timeout().toMillis(), TimeUnit.MILLISECONDS);
    return request;
  }

  private void addHeaders(HttpFields.Mutable headers, PlannedCall call) {
    headers.put("Authorization", "Bearer " + setup.tokens().get(call.caller()));
    setup.kind().ifPresent(kind -> headers.put("X-Request-Kind", kind));
    call.idempotencyKey().ifPresent(key -> headers.put("Idempotency-Key", key));
  }

  private String body(PlannedCall call) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("model", call.model());
    body.put("prompt", "load " + call.startOffset());
    body.put("max_tokens", setup.maxTokens());
    body.put("stream", !setup.callServices());
    return body.toString();
  }

  private String outcome(Result ended, String content) {
    if (ended.isFailed()) {
      return ended.getFailure() instanceof TimeoutException ? "timeout" : "cut";
    }
    if (ended.getResponse().getStatus() != STATUS_OK) {
      return problemCode(content, ended.getResponse().getStatus());
    }
    boolean complete = setup.callServices() || content.contains(STREAM_END);
    return complete ? "ok" : "incomplete";
  }

  private static String problemCode(String content, int status) {
    try {
      return Codecs.json().readTree(content).path("code").asText("status-" + status);
    } catch (JsonProcessingException notProblem) {
      return "status-" + status;
    }
  }

  private static long microsSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - nanos);
  }
}
