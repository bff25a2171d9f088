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
  private static final int MAX_WHOLE_BYTES = 1024 * 1024;

  /** Pause between two words to the core that an answer goes on. */
  private static final long PROGRESS_NANOS = 200_000_000;

  private final CallerExchange exchange;
  private final GatewayEffect.SendAttempt attempt;
  private final RunnerProtocol protocol;
  private final Consumer<RunnerNotification> words;
  private final Consumer<AttemptResult> told;
  private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
  private volatile boolean begun;
  private volatile Request request;
  private RunnerProtocol.AnswerHead head;
  private boolean started;
  private long toldAt;

  AttemptRelay(
      CallerExchange exchange,
      GatewayEffect.SendAttempt attempt,
      RunnerProtocol protocol,
      Consumer<RunnerNotification> words,
      Consumer<AttemptResult> told) {
    this.exchange = exchange;
    this.attempt = attempt;
    this.protocol = protocol;
    this.words = words;
    this.told = told;
  }

  /** Sends the request; this listens to all parts of the answer. */
  void send(Request prepared) {
    request = prepared;
    prepared.onRequestBegin(started -> begun = true).send(this);
  }

  /** Closes the attempt's connection. */
  void cancel() {
    Request sent = request;
    if (sent != null) {
      CompletableFuture<Boolean> _ = sent.abort(new OwnAbortException("the attempt is given up"));
    }
  }

  /** Closes the connection; {@link #onComplete} follows, whether or not it was open still. */
  private static void abort(Response response, String reason) {
    CompletableFuture<Boolean> _ = response.abort(new OwnAbortException(reason));
  }

  private boolean relaysEvents() {
    return attempt.streaming() && head.isSuccess() && head.signed();
  }

  @Override
  public void onHeaders(Response response) {
    head = protocol.read(exchange, attempt, response);
    head.words().forEach(words);
    GatewayHttp.noteProgress(response);
    if (!head.forThisRequest()) {
      abort(response, "the answer belongs to another request");
    }
  }

  @Override
  public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
    GatewayHttp.noteProgress(response);
    byte[] bytes = BufferUtil.toArray(chunk.getByteBuffer());
    if (!relaysEvents()) {
      whole.writeBytes(bytes);
      if (whole.size() > MAX_WHOLE_BYTES) {
        abort(response, "the answer is too long to be held");
      } else {
        demander.run();
      }
      return;
    }
    Callback done = Callback.from(demander, failure -> abort(response, "the caller left"));
    switch (exchange.relay(attempt.attempt(), head.status(), head.headers(), bytes, done)) {
      case WRITTEN -> tellProgress();
      case NOTHING -> demander.run();
      case GAP -> abort(response, "events are missing");
      case TOO_LONG -> abort(response, "an event is too long to be held");
      default -> abort(response, "the attempt is given up");
    }
  }

  private void tellProgress() {
    long now = System.nanoTime();
    if (!started) {
      started = true;
      told.accept(new AttemptResult.Started());
      toldAt = now;
    } else if (now - toldAt > PROGRESS_NANOS) {
      told.accept(new AttemptResult.Progressed());
      toldAt = now;
    }
  }

  @Override
  public void onComplete(Result result) {
    if (result.isFailed()) {
      fail(result.getFailure());
    } else if (relaysEvents()) {
      if (exchange.hasPartialEvent()) {
        fail(new OwnAbortException("the stream ends inside an event"));
      } else {
        exchange.finish(attempt.attempt(), head.status(), head.headers());
        told.accept(new AttemptResult.Finished(head.status()));
      }
    } else if (head.isSuccess() && head.signed()) {
      exchange.answer(head.status(), head.headers(), whole.toByteArray());
      told.accept(new AttemptResult.Finished(head.status()));
    } else if (head.isSuccess()) {
      fail(new OwnAbortException("a success without a signature"));
    } else {
      told.accept(new AttemptResult.Answered(head.status(), head.notRun(), head.signed()));
    }
  }

  private void fail(Throwable failure) {
    String reason = failure.getClass().getSimpleName() + ": " + failure.getMessage();
    if (!begun) {
      told.accept(new AttemptResult.NotSent(reason));
      return;
    }
    told.accept(
        new AttemptResult.Broken(
            reason,
            exchange.isHeadSent(),
            exchange.lastEvent(),
            !(failure instanceof OwnAbortException)));
  }

  /** Passes on the failure that the runner answered. */
  boolean passAnswer() {
    return head != null && exchange.answer(head.status(), head.headers(), whole.toByteArray());
  }

  /** The attempt was ended here, and not by its runner. */
  private static final class OwnAbortException extends IOException {

    private static final long serialVersionUID = 1L;

    OwnAbortException(String reason) {
      super(reason);
    }
  }
}
