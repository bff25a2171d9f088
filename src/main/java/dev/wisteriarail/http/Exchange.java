package dev.wisteriarail.http;

import dev.wisteriarail.core.request.RequestOutcome;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * The answer to one caller while it is being produced: pieces wait here for the caller's thread.
 *
 * <p>Bounded: a caller that reads too slowly loses its answer instead of filling the node's memory.
 * Thread-safe.
 */
final class Exchange {

  /** The most pieces that wait for one caller. */
  static final int MAX_QUEUED_CHUNKS = 4_096;

  /** Something to write to the caller. */
  sealed interface Item {

    /** A piece of the answer. */
    record Chunk(String text) implements Item {}

    /** The end of the answer. */
    record End(RequestOutcome outcome) implements Item {}
  }

  private final BlockingQueue<Item> items = new LinkedBlockingQueue<>();

  /**
   * Queues a piece.
   *
   * @return false if the caller reads too slowly
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
