package dev.wisteriarail.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.ServiceId;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.Refusal;
import dev.wisteriarail.core.request.RequestOutcome;
import dev.wisteriarail.core.request.Target;
import dev.wisteriarail.core.result.ResultCode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Blocker;
import org.eclipse.jetty.util.Callback;

/**
 * Handles the callers' HTTP API: completions, models, plain services, health, status and metrics.
 *
 * <p>Blocks its virtual thread until the answer is complete. Thread-safe.
 */
final class CallerHandler extends Handler.Abstract {

  private static final Duration NODE_FULL_RETRY_AFTER = Duration.ofSeconds(1);
  private static final String SERVICES_PREFIX = "/services/";

  private final NodeContext node;
  private final ExchangeTable exchanges;
  private final int maxOpenRequests;
  private final RequestReader reader;
  private final NodeMetrics metrics;
  private final Authenticator authenticator = new Authenticator();
  private final AtomicLong sequence = new AtomicLong();

  CallerHandler(NodeContext node, ExchangeTable exchanges, HttpLimits limits, NodeMetrics metrics) {
    this.node = node;
    this.exchanges = exchanges;
    this.metrics = metrics;
    maxOpenRequests = limits.maxOpenRequests();
    reader = new RequestReader(limits);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    RequestId id =
        RequestId.of(node.node() + "." + node.incarnation() + "." + sequence.incrementAndGet());
    response.getHeaders().put("X-Request-Id", id.value());
    AnswerWriter refusalWriter = new AnswerWriter(response, id, "", AnswerFormat.PLAIN);
    try {
      route(id, request, response);
      callback.succeeded();
    } catch (RefusedException refused) {
      refuse(refusalWriter, refused.refusal(), callback);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      callback.failed(interrupted);
    } catch (IOException disconnected) {
      node.events().accept(new Event.CallerLeft(id));
      callback.failed(disconnected);
    } finally {
      exchanges.close(id);
    }
    return true;
  }

  private void route(RequestId id, Request request, Response response)
      throws RefusedException, IOException, InterruptedException {
    String path = Request.getPathInContext(request);
    switch (path) {
      case "/v1/chat/completions" -> complete(id, request, response, true);
      case "/v1/completions" -> complete(id, request, response, false);
      case "/v1/models" -> listModels(request, response);
      case "/health/live" -> writeText(response, HttpStatus.OK_200, "live\n");
      case "/health/ready" -> writeReadiness(response);
      case "/status" ->
          writeText(
              response,
              HttpStatus.OK_200,
              node.status().render(request.getHeaders().get(HttpHeader.AUTHORIZATION)));
      case "/metrics" -> writeText(response, HttpStatus.OK_200, metrics.scrape());
      default -> {
        if (!path.startsWith(SERVICES_PREFIX)) {
          throw RefusedException.of(ResultCode.NOT_FOUND, "no path " + path);
        }
        callService(id, request, response, path.substring(SERVICES_PREFIX.length()));
      }
    }
  }

  // Paths

  private void complete(RequestId id, Request request, Response response, boolean chat)
      throws RefusedException, IOException, InterruptedException {
    requireMethod(request, "POST");
    CustomerId customer = authenticate(request);
    String body = reader.readBody(request);
    JsonNode json = RequestReader.readJson(body);
    Target.ModelTarget target = RequestReader.readModel(json);
    AnswerFormat format = AnswerFormat.of(chat, json.path("stream").asBoolean(false));
    InboundRequest inbound = reader.read(id, customer, request, target, body);
    run(inbound, new AnswerWriter(response, id, target.model().value(), format));
  }

  private void callService(RequestId id, Request request, Response response, String rest)
      throws RefusedException, IOException, InterruptedException {
    CustomerId customer = authenticate(request);
    int slash = rest.indexOf('/');
    String service = slash < 0 ? rest : rest.substring(0, slash);
    if (service.isEmpty()) {
      throw RefusedException.of(ResultCode.SERVICE_UNKNOWN, "the path names no service");
    }
    String query = request.getHttpURI().getQuery();
    String path = slash < 0 ? "/" : rest.substring(slash);
    Target.ServiceTarget target =
        new Target.ServiceTarget(
            ServiceId.of(service), request.getMethod(), query == null ? path : path + "?" + query);
    InboundRequest inbound = reader.read(id, customer, request, target, reader.readBody(request));
    run(inbound, new AnswerWriter(response, id, service, AnswerFormat.PLAIN));
  }

  private void run(InboundRequest inbound, AnswerWriter writer)
      throws RefusedException, IOException, InterruptedException {
    if (exchanges.size() >= maxOpenRequests) {
      throw new RefusedException(
          Refusal.notRun(
              ResultCode.NODE_FULL, "the limit is " + maxOpenRequests, NODE_FULL_RETRY_AFTER));
    }
    Instant start = node.clock().instant();
    Exchange exchange = exchanges.open(inbound.id());
    node.events().accept(new Event.RequestArrived(inbound));
    RequestOutcome outcome = writer.write(exchange);
    metrics.recordOutcome(outcome, Duration.between(start, node.clock().instant()));
  }

  private void listModels(Request request, Response response) throws RefusedException, IOException {
    CustomerId customer = authenticate(request);
    ObjectNode body = JsonNodeFactory.instance.objectNode().put("object", "list");
    ArrayNode data = body.putArray("data");
    for (ModelSpec model : node.configuration().get().models().values()) {
      if (model.customer().equals(customer)) {
        data.addObject().put("id", model.id().value()).put("object", "model");
      }
    }
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    writeText(response, HttpStatus.OK_200, Codecs.json().writeValueAsString(body));
  }

  private void writeReadiness(Response response) throws IOException {
    if (node.ready().getAsBoolean()) {
      writeText(response, HttpStatus.OK_200, "ready\n");
    } else {
      writeText(response, HttpStatus.SERVICE_UNAVAILABLE_503, "not ready\n");
    }
  }

  // Helpers

  private CustomerId authenticate(Request request) throws RefusedException {
    return authenticator.authenticate(
        request.getHeaders().get(HttpHeader.AUTHORIZATION), node.configuration().get());
  }

  private static void requireMethod(Request request, String method) throws RefusedException {
    if (!request.getMethod().equals(method)) {
      throw RefusedException.of(ResultCode.METHOD_NOT_ALLOWED, "use " + method);
    }
  }

  private static void refuse(AnswerWriter writer, Refusal refusal, Callback callback) {
    try {
      writer.refuse(refusal);
      callback.succeeded();
    } catch (IOException disconnected) {
      callback.failed(disconnected);
    }
  }

  private static void writeText(Response response, int status, String text) throws IOException {
    response.setStatus(status);
    try (Blocker.Callback blocker = Blocker.callback()) {
      response.write(true, ByteBuffer.wrap(text.getBytes(UTF_8)), blocker);
      blocker.block();
    }
  }
}
