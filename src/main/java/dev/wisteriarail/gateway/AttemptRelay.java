package dev.wisteriarail.gateway;

import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.HeldBytes;
import dev.wisteriarail.http.ResponseFaults;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Relays a runner's response to the caller: a stream event by event, any other successful response
 * once it is complete, and a failure only when the core decides so.
 *
 * <p>Backpressure: more content is demanded from the runner only after the previous content was
 * written to the caller, or is held by the account of held bytes with space for more. Life cycle:
 * one instance per attempt. Jetty invokes the listener methods serially; {@link #cancel} may be
 * called from any thread.
 */
final class AttemptRelay
    implements Response.HeadersListener, Response.AsyncContentListener, Response.CompleteListener {

  /** Maximum size of a response that is buffered until it is complete, in bytes. */
  private static final int MAX_BUFFERED_BYTES = 1024 * 1024;

  /** Minimum interval between two progress reports to the core. */
  private static final long PROGRESS_INTERVAL_NANOS = 200_000_000;

  /** Interval at which a response that waits for space in the account asks again. */
  private static final long SPACE_POLL_MILLIS = 20;

  private final CallerExchange exchange;
  private final GatewayEffect.SendAttempt attempt;
  private final RunnerProtocol protocol;
  private final Consumer<RunnerNotification> notifications;
  private final Consumer<AttemptResult> results;
  private final HeldBytes.Holding holding;
  private final Scheduler scheduler;
  private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();
  private final AtomicReference<Sending> sending = new AtomicReference<>(Sending.NOT_BEGUN);
  private volatile Request request;
  private volatile boolean completed;
  private RunnerProtocol.ResponseHead head;
  private boolean startReported;
  private long lastReportNanos;

  /** Whether events are being written to the caller; guarded by this object's lock. */
  private boolean writing;

  /** Whether {@code Paused} was reported last; guarded by this object's lock. */
  private boolean paused;

  AttemptRelay(
      CallerExchange exchange,
      GatewayEffect.SendAttempt attempt,
      RunnerProtocol protocol,
      HeldBytes heldBytes,
      Scheduler scheduler,
      Consumer<RunnerNotification> notifications,
      Consumer<AttemptResult> results) {
    this.exchange = exchange;
    this.attempt = attempt;
    this.protocol = protocol;
    this.scheduler = scheduler;
    holding = heldBytes.open(HeldBytes.Kind.BUFFERED_RESPONSE);
    this.notifications = notifications;
    this.results = results;
  }

  /** Sends the request and registers this object as the listener for its response. */
  void send(Request prepared) {
    request = prepared;
    prepared.onRequestBegin(this::begin).send(this);
  }

  private void begin(Request started) {
    if (!sending.compareAndSet(Sending.NOT_BEGUN, Sending.BEGUN)) {
      CompletableFuture<Boolean> _ =
          started.abort(new LocalAbortException("the attempt was abandoned"));
    }
  }

  /**
   * Ends the attempt after an exception while sending it. Nothing is sent afterwards if nothing was
   * sent before.
   *
   * @return the result of the attempt
   */
  AttemptResult abandon(String reason) {
    final boolean begun = !sending.compareAndSet(Sending.NOT_BEGUN, Sending.ABANDONED);
    cancel();
    return new AttemptResult.LocalFault(reason, begun, begun ? exchange.lastEvent() : "");
  }

  /** Aborts the attempt, which closes its connection. Its output is refused from now on. */
  void cancel() {
    exchange.dropAttempt(attempt.attempt());
    holding.close();
    Request sent = request;
    if (sent != null && !completed) {
      CompletableFuture<Boolean> _ =
          sent.abort(new LocalAbortException("the attempt is cancelled"));
    }
  }

  /** Aborts the response. {@link #onComplete} follows, even if the connection is already closed. */
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
    if (!ResponseFaults.isValidStatus(head.status())) {
      abort(response, "status " + head.status() + " is invalid");
    } else if (!head.matchesRequest()) {
      abort(response, "the response belongs to another request");
    }
  }

  @Override
  public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
    GatewayHttp.recordProgress(response);
    byte[] bytes = BufferUtil.toArray(chunk.getByteBuffer());
    if (!isEventStream()) {
      bufferedBody.writeBytes(bytes);
      holding.hold(bytes.length);
      if (bufferedBody.size() > MAX_BUFFERED_BYTES) {
        abort(response, "the response is too long to be buffered");
      } else {
        demandWithinAccount(demander);
      }
      return;
    }
    Callback done =
        Callback.from(
            () -> endWrite(demander), failure -> abort(response, "the caller disconnected"));
    beginWrite();
    switch (exchange.relay(attempt.attempt(), head.status(), head.headers(), bytes, done)) {
      case WRITTEN -> {
        reportProgress();
        reportPause();
      }
      case NO_EVENT -> demander.run();
      case GAP -> abort(response, "events are missing");
      case TOO_LONG -> abort(response, "an event is too long to be buffered");
      default -> abort(response, "the attempt may no longer write");
    }
  }

  /** Demands more of a buffered response once the account of held bytes has space for it. */
  private void demandWithinAccount(Runnable demander) {
    if (holding.mayReadOn()) {
      resume();
      demander.run();
    } else {
      pause();
      Scheduler.Task _ =
          scheduler.schedule(
              () -> demandWithinAccount(demander), SPACE_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private synchronized void beginWrite() {
    writing = true;
  }

  /** Reports that the caller does not read, unless the write has ended. */
  private synchronized void reportPause() {
    if (writing) {
      pause();
    }
  }

  private synchronized void pause() {
    if (!paused) {
      paused = true;
      results.accept(new AttemptResult.Paused());
    }
  }

  private synchronized void resume() {
    if (paused) {
      paused = false;
      results.accept(new AttemptResult.Resumed());
    }
  }

  private void endWrite(Runnable demander) {
    synchronized (this) {
      writing = false;
      resume();
    }
    demander.run();
  }

  private void reportProgress() {
    long now = System.nanoTime();
    if (!startReported) {
      startReported = true;
      results.accept(new AttemptResult.Started());
      lastReportNanos = now;
    }
    int dropped = exchange.takeNewestDropped(attempt.attempt());
    if (dropped > 0) {
      results.accept(new AttemptResult.Prevailed(dropped));
      lastReportNanos = now;
    } else if (now - lastReportNanos > PROGRESS_INTERVAL_NANOS) {
      results.accept(new AttemptResult.Progressed());
      lastReportNanos = now;
    }
  }

  @Override
  public void onComplete(Result result) {
    completed = true;
    if (result.isFailed()) {
      fail(result.getFailure());
    } else if (isEventStream()) {
      if (exchange.hasPartialEvent(attempt.attempt())) {
        fail(new LocalAbortException("the stream ends inside an event"));
      } else if (exchange.finish(attempt.attempt(), head.status(), head.headers())) {
        results.accept(new AttemptResult.Finished(head.status()));
      } else {
        fail(new LocalAbortException("the attempt may no longer write"));
      }
    } else if (head.isSuccess() && head.signed()) {
      exchange.sendAnswer(head.status(), head.headers(), bufferedBody.toByteArray());
      results.accept(new AttemptResult.Finished(head.status()));
    } else if (head.isSuccess()) {
      fail(new LocalAbortException("a successful response without a signature"));
    } else {
      results.accept(new AttemptResult.Answered(head.status(), head.notRun(), head.signed()));
    }
  }

  private void fail(Throwable failure) {
    String reason = failure.getClass().getSimpleName() + ": " + failure.getMessage();
    if (sending.get() != Sending.BEGUN) {
      results.accept(new AttemptResult.NotSent(reason));
      return;
    }
    results.accept(
        new AttemptResult.Broken(
            reason,
            exchange.isHeadSent(),
            exchange.lastEvent(),
            !(failure instanceof LocalAbortException) && !ResponseFaults.isUnreadable(failure)));
  }

  /**
   * Relays the runner's failure response to the caller.
   *
   * @return whether it was sent; false without a response head, or if the caller already has a head
   */
  boolean relayAnswer() {
    return head != null
        && exchange.sendAnswer(head.status(), head.headers(), bufferedBody.toByteArray());
  }

  /** Whether a byte of the request may have been sent. */
  private enum Sending {
    NOT_BEGUN,
    BEGUN,
    /** The attempt ended before it began; nothing may be sent. */
    ABANDONED
  }

  /** Thrown when this node, not the runner, ends the attempt. */
  private static final class LocalAbortException extends IOException {

    private static final long serialVersionUID = 1L;

    LocalAbortException(String reason) {
      super(reason);
    }
  }
}
