package dev.wisteriarail.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;

/**
 * Discards the unread body of a refused request.
 *
 * <p>Closing a connection with unread bytes resets it, and the reset may reach the caller before
 * the refusal. Therefore the rest of the body is read and discarded, up to a limit in bytes and
 * time.
 *
 * <p>Life cycle: one instance per refused request. Thread-safe.
 */
final class RequestBodyDiscarder {

  /** Maximum number of bytes that are discarded. */
  private static final long MAX_DISCARDED_BYTES = 8 * 1024 * 1024;

  /** Maximum time during which the caller may continue to send. */
  private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(1);

  private final Request request;
  private final Callback callback;
  private final AtomicBoolean done = new AtomicBoolean();
  private long remainingBytes = MAX_DISCARDED_BYTES;

  private RequestBodyDiscarder(Request request, Callback callback) {
    this.request = request;
    this.callback = callback;
  }

  /** Returns a callback that discards the rest of the body, then completes the given callback. */
  static Callback discardThenComplete(Request request, Callback callback) {
    RequestBodyDiscarder body = new RequestBodyDiscarder(request, callback);
    return Callback.from(body::start, callback::failed);
  }

  private void start() {
    request
        .getComponents()
        .getScheduler()
        .schedule(this::end, DISCARD_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    read();
  }

  private void read() {
    while (!done.get()) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this::read);
        return;
      }
      remainingBytes -= chunk.remaining();
      boolean last = chunk.isLast() || Content.Chunk.isFailure(chunk) || remainingBytes <= 0;
      chunk.release();
      if (last) {
        end();
      }
    }
  }

  private void end() {
    if (done.compareAndSet(false, true)) {
      callback.succeeded();
    }
  }
}
