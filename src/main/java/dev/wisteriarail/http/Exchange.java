package dev.wisteriarail.http;

import dev.wisteriarail.core.request.RequestOutcome;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Queue of the chunks of one answer, from the core to the thread that writes to the caller.
 *
 * <p>The queue is bounded: a caller that reads too slowly loses its answer instead of filling the
 * node's memory. Thread-safe.
 */
final class Exchange {

  /** Maximum number of chunks queued for one caller. */
  static final int MAX_QUEUED_CHUNKS = 4_096;

  /** An entry of the queue. */
  sealed interface Item {

    /** A chunk of the answer. */
    record Chunk(String text) implements Item {}

    /** The end of the answer. It is queued even if the queue is full. */
    record End(RequestOutcome outcome) implements Item {}
  }

  private final BlockingQueue<Item> items = new LinkedBlockingQueue<>();

  /**
   * Queues a chunk.
   *
   * @return false if the queue is full because the caller reads too slowly
   */
  boolean offer(String text) {
    if (items.size() >= MAX_QUEUED_CHUNKS) {
      return false;
    }
    return items.add(new Item.Chunk(text));
  }

  void end(RequestOutcome outcome) {
    items.add(new Item.End(outcome));
  }

  Item take() throws InterruptedException {
    return items.take();
  }
}
