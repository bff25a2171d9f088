package dev.wisteriarail.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.IdempotencyKey;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.Target;
import dev.wisteriarail.core.result.ResultCode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Converts a caller's HTTP request into a request for the core. Thread-safe. */
final class RequestReader {

  private static final String KIND_HEADER = "X-Request-Kind";
  private static final String PRIORITY_HEADER = "X-Priority";
  private static final String DEADLINE_HEADER = "X-Deadline-Ms";
  private static final String KEY_HEADER = "Idempotency-Key";
  private static final String DEFAULT_KIND = "default";
  private static final int READ_BUFFER_BYTES = 8 * 1024;
  private static final int MAX_KEY_LENGTH = 200;

  private final HttpLimits limits;

  RequestReader(HttpLimits limits) {
    this.limits = limits;
  }

  /** Reads the whole body as UTF-8 text; refuses it if it exceeds the size or time limit. */
  String readBody(Request request) throws RefusedException {
    if (request.getLength() > limits.maxBodyBytes()) {
      throw tooLarge();
    }
    long deadline = System.nanoTime() + limits.bodyTimeout().toNanos();
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    byte[] buffer = new byte[READ_BUFFER_BYTES];
    try (InputStream in = Content.Source.asInputStream(request)) {
      int count = in.read(buffer);
      while (count >= 0) {
        body.write(buffer, 0, count);
        if (body.size() > limits.maxBodyBytes()) {
          throw tooLarge();
        }
        if (System.nanoTime() > deadline) {
          throw timedOut();
        }
        count = in.read(buffer);
      }
    } catch (IOException failure) {
      throw timedOut();
    }
    return body.toString(UTF_8);
  }

  /** Validates the headers and returns the request for the core. */
  InboundRequest read(
      RequestId id, CustomerId customer, Request request, Target target, String body)
      throws RefusedException {
    HttpFields headers = request.getHeaders();
    String kind = headers.get(KIND_HEADER);
    return new InboundRequest(
        id,
        customer,
        KindId.of(kind == null || kind.isBlank() ? DEFAULT_KIND : kind.strip()),
        target,
        readKey(headers.get(KEY_HEADER)),
        readUrgency(headers.get(PRIORITY_HEADER)),
        readDeadline(headers.get(DEADLINE_HEADER)),
        body);
  }

  /** Returns the model and adapter named by the field "model", for example {@code m001:a007}. */
  static Target.ModelTarget readModel(JsonNode body) throws RefusedException {
    String name = body.path("model").asText("");
    if (name.isBlank()) {
      throw RefusedException.of(ResultCode.BAD_REQUEST, "the field \"model\" is missing");
    }
    int colon = name.indexOf(':');
    if (colon < 0) {
      return new Target.ModelTarget(ModelId.of(name), Optional.empty());
    }
    if (colon == 0 || colon == name.length() - 1) {
      throw RefusedException.of(
          ResultCode.BAD_REQUEST, "write the field \"model\" as model or model:adapter");
    }
    return new Target.ModelTarget(
        ModelId.of(name.substring(0, colon)), Optional.of(AdapterId.of(name.substring(colon + 1))));
  }

  /** Parses a JSON object. */
  static JsonNode readJson(String body) throws RefusedException {
    try {
      JsonNode node = Codecs.json().readTree(body);
      if (node != null && node.isObject()) {
        return node;
      }
    } catch (IOException malformed) {
      throw RefusedException.of(ResultCode.BAD_REQUEST, "the body is not valid JSON");
    }
    throw RefusedException.of(ResultCode.BAD_REQUEST, "the body is not a JSON object");
  }

  // Headers

  private static Optional<IdempotencyKey> readKey(String value) throws RefusedException {
    if (value == null || value.isBlank()) {
      return Optional.empty();
    }
    if (value.length() > MAX_KEY_LENGTH) {
      throw RefusedException.of(
          ResultCode.BAD_REQUEST, KEY_HEADER + " is longer than " + MAX_KEY_LENGTH);
    }
    return Optional.of(IdempotencyKey.of(value.strip()));
  }

  private static Optional<Urgency> readUrgency(String value) throws RefusedException {
    if (value == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(Urgency.valueOf(value.strip().toUpperCase(Locale.ROOT)));
    } catch (IllegalArgumentException unknown) {
      throw RefusedException.of(
          ResultCode.BAD_REQUEST, PRIORITY_HEADER + " is one of urgent, normal, batch");
    }
  }

  private static Optional<Duration> readDeadline(String value) throws RefusedException {
    if (value == null) {
      return Optional.empty();
    }
    try {
      long millis = Long.parseLong(value.strip());
      if (millis > 0) {
        return Optional.of(Duration.ofMillis(millis));
      }
    } catch (NumberFormatException notNumber) {
      throw RefusedException.of(
          ResultCode.BAD_REQUEST, DEADLINE_HEADER + " is a number of milliseconds");
    }
    throw RefusedException.of(ResultCode.BAD_REQUEST, DEADLINE_HEADER + " must be positive");
  }

  // Helpers

  private RefusedException tooLarge() {
    return RefusedException.of(
        ResultCode.REQUEST_TOO_LARGE, "the limit is " + limits.maxBodyBytes() + " bytes");
  }

  private RefusedException timedOut() {
    return RefusedException.of(
        ResultCode.REQUEST_TIMED_OUT_READING,
        "the body must arrive within " + limits.bodyTimeout().toSeconds() + " s");
  }
}
