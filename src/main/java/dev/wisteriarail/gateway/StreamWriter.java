package dev.wisteriarail.gateway;

import dev.wisteriarail.core.gateway.HeldBytes;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;

/**
 * Writes the events of a streamed response in their order, and buffers those that the caller has
 * not read.
 *
 * <p>Events are written as they arrive. While the caller does not read, the account of held bytes
 * decides whether more may be received; if not, the source of the events waits until the caller has
 * read enough. Life cycle: one per response; {@link #finish} or {@link #abandon} ends it.
 * Thread-safe.
 */
final class StreamWriter extends IteratingCallback {

  /** Maximum number of buffered bytes that are combined into one write. */
  private static final int MAX_WRITE_BYTES = 32 * 1024;

  private final Response response;
  private final HeldBytes.Holding holding;
  private final Runnable abort;
  private final Deque<byte[]> queue = new ArrayDeque<>();

  /** Completed when more events may be received. */
  private final List<Callback> waiting = new ArrayList<>();

  private int writing;

  /** Completed after the end of the response; null until the last event has been added. */
  private Callback last;

  private State state = State.OPEN;

  private enum State {
    OPEN,
    /** The end of the response is written. */
    ENDING,
    /** The response was ended otherwise; nothing is written any more. */
    ABANDONED,
    /** A write failed. */
    FAILED
  }

  /**
   * Creates a writer.
   *
   * @param response the response to write to
   * @param holding counts the buffered bytes
   * @param abort ends the response if a write fails and no source of events can notice it
   */
  StreamWriter(Response response, HeldBytes.Holding holding, Runnable abort) {
    this.response = response;
    this.holding = holding;
    this.abort = abort;
  }

  /**
   * Adds complete events.
   *
   * @param readOn completed when more may be received, possibly at once; fails if the caller is
   *     gone
   */
  void write(byte[] events, Callback readOn) {
    boolean readsAhead;
    synchronized (this) {
      if (state == State.FAILED) {
        readOn.failed(new EofException("the caller is gone"));
        return;
      }
      queue.add(events);
      holding.hold(events.length);
      readsAhead = holding.mayReadOn();
      if (!readsAhead) {
        waiting.add(readOn);
      }
    }
    iterate();
    if (readsAhead) {
      readOn.succeeded();
    }
  }

  /**
   * Ends the response once all events are written.
   *
   * @param callback completed after that; not called if {@link #abandon} comes first
   */
  void finish(Callback callback) {
    synchronized (this) {
      last = callback;
    }
    iterate();
  }

  /**
   * Drops the events that are not written.
   *
   * @return whether the response has not been ended by {@link #finish}
   */
  synchronized boolean abandon() {
    queue.clear();
    holding.close();
    if (state == State.ENDING) {
      return false;
    }
    state = State.ABANDONED;
    return true;
  }

  /** Returns whether the end of the response was written or is being written. */
  synchronized boolean hasEnded() {
    return state == State.ENDING;
  }

  @Override
  protected Action process() {
    List<Callback> resumed = List.of();
    byte[] events;
    boolean ends = false;
    synchronized (this) {
      holding.release(writing);
      if (state != State.OPEN) {
        writing = 0;
        return state == State.ENDING ? Action.SUCCEEDED : Action.IDLE;
      }
      events = nextEvents();
      writing = events.length;
      if (!waiting.isEmpty() && (writing == 0 || holding.mayReadOn())) {
        resumed = List.copyOf(waiting);
        waiting.clear();
      }
      if (writing == 0 && last != null) {
        state = State.ENDING;
        ends = true;
      }
    }
    if (writing > 0 || ends) {
      response.write(ends, ByteBuffer.wrap(events), this);
    }
    resumed.forEach(Callback::succeeded);
    return writing > 0 || ends ? Action.SCHEDULED : Action.IDLE;
  }

  /** Removes events from the queue, as many as fit into one write. */
  private byte[] nextEvents() {
    if (queue.isEmpty()) {
      return new byte[0];
    }
    List<byte[]> taken = new ArrayList<>();
    int length = 0;
    do {
      taken.add(queue.remove());
      length += taken.getLast().length;
    } while (!queue.isEmpty() && length + queue.peek().length <= MAX_WRITE_BYTES);
    if (taken.size() == 1) {
      return taken.getFirst();
    }
    ByteBuffer all = ByteBuffer.allocate(length);
    taken.forEach(all::put);
    return all.array();
  }

  @Override
  protected void onCompleteSuccess() {
    holding.close();
    last.succeeded();
  }

  @Override
  protected void onCompleteFailure(Throwable cause) {
    List<Callback> failed;
    State stateBefore;
    synchronized (this) {
      failed = List.copyOf(waiting);
      waiting.clear();
      stateBefore = state;
      state = State.FAILED;
      queue.clear();
      holding.close();
    }
    failed.forEach(each -> each.failed(cause));
    if (stateBefore == State.ENDING) {
      last.failed(cause);
    } else if (stateBefore == State.OPEN && (failed.isEmpty() || last != null)) {
      abort.run();
    }
  }
}
