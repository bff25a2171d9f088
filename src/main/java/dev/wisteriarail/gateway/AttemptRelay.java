package dev.wisteriarail.gateway;

import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.gateway.GatewayEffect;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Passes a runner's answer on to the caller: a stream event by event, any other answer when it is
 * whole, a failure only when the core says so.
 *
 * <p>The next bytes are asked of the runner when the caller has taken the last ones. Life cycle:
 * one per attempt. Callbacks come one at a time; {@link #cancel} may come from any thread.
 */
final class AttemptRelay
    implements Response.HeadersListener, Response.AsyncContentListener, Response.CompleteListener {

  /** Longest answer that is held until it is whole, in bytes. */
  private static final int MAX_BUFFERED_BYTES = 1024 * 1024;

  /** Pause between two words to the core that an answer goes on. */
  private static final long PROGRESS_INTERVAL_NANOS = 200_000_000;

  private final CallerExchange exchange;
  private final GatewayEffect.SendAttempt attempt;
  private final RunnerProtocol protocol;
  private final Consumer<RunnerNotification> notifications;
  private final Consumer<AttemptResult> results;
  private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();
  private volatile boolean requestBegun;
  private volatile Request request;
  private RunnerProtocol.ResponseHead head;
  private boolean startReported;
  private long lastReportNanos;

  AttemptRelay(
      CallerExchange exchange,
      GatewayEffect.SendAttempt attempt,
      RunnerProtocol protocol,
      Consumer<RunnerNotification> notifications,
      Consumer<AttemptResult> results) {
    this.exchange = exchange;
    this.attempt = attempt;
    this.protocol = protocol;
    this.notifications = notifications;
    this.results = results;
  }

  /** Sends the request; this listens to all parts of the answer. */
  void send(Request prepared) {
    request = prepared;
    prepared.onRequestBegin(started -> requestBegun = true).send(this);
  }

  /** Closes the attempt's connection. */
  void cancel() {
    Request sent = request;
    if (sent != null) {
      CompletableFuture<Boolean> _ = sent.abort(new LocalAbortException("the attempt is given up"));
    }
  }

  /** Closes the connection; {@link #onComplete} follows, whether or not it was open still. */
  private static void abort(Response response, String reason) {
    CompletableFuture<Boolean> _ = response.abort(new LocalAbortException(reason));
  }

  private boolean isEventStream() {
    return attempt.streaming() && head.isSuccess() && head.signed();
  }

  @Override
  public void onHeaders(Response response) {
    head = protocol.parseHead(exchange, attempt, response);
    head.notifications().forEach(notifications);
    GatewayHttp.recordProgress(response);
    if (!head.matchesRequest()) {
      abort(response, "the answer belongs to another request");
    }
  }

  @Override
  public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
    GatewayHttp.recordProgress(response);
    byte[] bytes = BufferUtil.toArray(chunk.getByteBuffer());
    if (!isEventStream()) {
      bufferedBody.writeBytes(bytes);
      if (bufferedBody.size() > MAX_BUFFERED_BYTES) {
        abort(response, "the answer is too long to be held");
      } else {
        demander.run();
      }
      return;
    }
    Callback done = Callback.from(demander, failure -> abort(response, "the caller left"));
    switch (exchange.relay(attempt.attempt(), head.status(), head.headers(), bytes, done)) {
      case WRITTEN -> reportProgress();
      case NO_EVENT -> demander.run();
      case GAP -> abort(response, "events are missing");
      case TOO_LONG -> abort(response, "an event is too long to be held");
      default -> abort(response, "the attempt is given up");
    }
  }

  private void reportProgress() {
    long now = System.nanoTime();
    if (!startReported) {
      startReported = true;
      results.accept(new AttemptResult.Started());
      lastReportNanos = now;
    } else if (now - lastReportNanos > PROGRESS_INTERVAL_NANOS) {
      results.accept(new AttemptResult.Progressed());
      lastReportNanos = now;
    }
  }

  @Override
  public void onComplete(Result result) {
    if (result.isFailed()) {
      fail(result.getFailure());
    } else if (isEventStream()) {
      if (exchange.hasPartialEvent()) {
        fail(new LocalAbortException("the stream ends inside an event"));
      } else {
        exchange.finish(attempt.attempt(), head.status(), head.headers());
        results.accept(new AttemptResult.Finished(head.status()));
      }
    } else if (head.isSuccess() && head.signed()) {
      exchange.sendAnswer(head.status(), head.headers(), bufferedBody.toByteArray());
      results.accept(new AttemptResult.Finished(head.status()));
    } else if (head.isSuccess()) {
      fail(new LocalAbortException("a success without a signature"));
    } else {
      results.accept(new AttemptResult.Answered(head.status(), head.notRun(), head.signed()));
    }
  }

  private void fail(Throwable failure) {
    String reason = failure.getClass().getSimpleName() + ": " + failure.getMessage();
    if (!requestBegun) {
      results.accept(new AttemptResult.NotSent(reason));
      return;
    }
    results.accept(
        new AttemptResult.Broken(
            reason,
            exchange.isHeadSent(),
            exchange.lastEvent(),
            !(failure instanceof LocalAbortException)));
  }

  /** Passes on the failure that the runner answered. */
  boolean relayAnswer() {
    return head != null
        && exchange.sendAnswer(head.status(), head.headers(), bufferedBody.toByteArray());
  }

  /** The attempt was ended here, and not by its runner. */
  private static final class LocalAbortException extends IOException {

    private static final long serialVersionUID = 1L;

    LocalAbortException(String reason) {
      super(reason);
    }
  }
}
