package dev.wisteriarail.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;

/**
 * The rest of a body that was refused before it was read.
 *
 * <p>A connection that is closed on unread bytes is reset, and the reset may overtake the refusal.
 * So what the caller still sends is read and dropped, within bounds of bytes and time.
 *
 * <p>Life cycle: one per refused request. Thread-safe.
 */
final class RequestBodyDiscarder {

  /** Bytes that are read at most. */
  private static final long MAX_DISCARDED_BYTES = 8 * 1024 * 1024;

  /** Time for which the caller may go on to send. */
  private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(1);

  private final Request request;
  private final Callback callback;
  private final AtomicBoolean done = new AtomicBoolean();
  private long remainingBytes = MAX_DISCARDED_BYTES;

  private RequestBodyDiscarder(Request request, Callback callback) {
    this.request = request;
    this.callback = callback;
  }

  /** Returns what drops the rest of a request's body after its answer, and then ends it. */
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
