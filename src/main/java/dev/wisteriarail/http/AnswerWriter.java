package dev.wisteriarail.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.request.Refusal;
import dev.wisteriarail.core.request.RequestOutcome;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Blocker;

/** Writes the answer of one exchange to its caller. Not thread-safe; one instance per request. */
final class AnswerWriter {

  private final Response response;
  private final RequestId request;
  private final String model;
  private final AnswerFormat format;

  AnswerWriter(Response response, RequestId request, String model, AnswerFormat format) {
    this.response = response;
    this.request = request;
    this.model = model;
    this.format = format;
  }

  /**
   * Writes the answer; blocks until it has ended.
   *
   * @return the outcome, for the metrics
   * @throws IOException if the caller has disconnected, or if a streamed answer ended early and the
   *     connection must be aborted so that the caller sees it is incomplete
   */
  RequestOutcome write(Exchange exchange) throws IOException, InterruptedException {
    return format.isEventStream() ? writeEvents(exchange) : writeBuffered(exchange);
  }

  private RequestOutcome writeBuffered(Exchange exchange) throws IOException, InterruptedException {
    StringBuilder text = new StringBuilder();
    while (true) {
      switch (exchange.take()) {
        case Exchange.Item.Chunk chunk -> text.append(chunk.text());
        case Exchange.Item.End end -> {
          switch (end.outcome()) {
            case RequestOutcome.Completed completed -> {
              response.setStatus(completed.status());
              response.getHeaders().put(HttpHeader.CONTENT_TYPE, format.contentType());
              send(format.completeAnswer(request.value(), model, text.toString()), true);
            }
            case RequestOutcome.Refused refused -> refuse(refused.refusal());
          }
          return end.outcome();
        }
      }
    }
  }

  private RequestOutcome writeEvents(Exchange exchange) throws IOException, InterruptedException {
    boolean started = false;
    while (true) {
      switch (exchange.take()) {
        case Exchange.Item.Chunk chunk -> {
          setHeaders(started);
          started = true;
          send(format.event(request.value(), model, chunk.text()), false);
        }
        case Exchange.Item.End end -> {
          writeEnd(end.outcome(), started);
          return end.outcome();
        }
      }
    }
  }

  private void writeEnd(RequestOutcome outcome, boolean started) throws IOException {
    switch (outcome) {
      case RequestOutcome.Completed completed -> {
        setHeaders(started);
        send("data: [DONE]\n\n", true);
      }
      case RequestOutcome.Refused refused -> {
        if (!started) {
          refuse(refused.refusal());
          return;
        }
        String problem =
            Codecs.json().writeValueAsString(ProblemBody.of(refused.refusal(), request.value()));
        send("event: error\ndata: " + problem + "\n\n", false);
        throw new IOException("the answer is incomplete");
      }
    }
  }

  private void setHeaders(boolean started) {
    if (!started) {
      response.setStatus(HttpStatus.OK_200);
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, format.contentType());
      response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    }
  }

  /** Writes a refusal as a complete answer. */
  void refuse(Refusal refusal) throws IOException {
    response.setStatus(refusal.code().httpStatus());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/problem+json");
    refusal
        .retryAfter()
        .ifPresent(
            delay -> {
              long seconds = Math.max(1, delay.plusMillis(999).toSeconds());
              response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
            });
    send(Codecs.json().writeValueAsString(ProblemBody.of(refusal, request.value())), true);
  }

  private void send(String text, boolean last) throws IOException {
    try (Blocker.Callback blocker = Blocker.callback()) {
      response.write(last, ByteBuffer.wrap(text.getBytes(UTF_8)), blocker);
      blocker.block();
    }
  }
}
