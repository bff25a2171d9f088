package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.fuzz.VirtualScheduler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/**
 * The outgoing peer link of one VM. It sends one message after the other at the rate of the link.
 * Urgent messages overtake queued ones; repeated messages are skipped while the queue is long, as
 * in the transport. Not thread-safe.
 */
final class FakeLink {

  /** Queue length from which repeated messages are skipped. */
  private static final int REPEATED_MESSAGE_LIMIT = 12;

  private final VirtualScheduler time;
  private final long bytesPerMilli;
  private final Deque<QueuedMessage> queue = new ArrayDeque<>();
  private final Map<String, Long> sentBytes = new TreeMap<>();
  private PeerMessage lastMeasured;
  private int lastBytes;
  private boolean sending;

  private record QueuedMessage(PeerMessage message, int bytes, Runnable onSent) {}

  FakeLink(VirtualScheduler time, long bytesPerMilli) {
    this.time = time;
    this.bytesPerMilli = bytesPerMilli;
  }

  /**
   * Queues a message; an urgent one goes to the head of the queue.
   *
   * @param onSent action to run when the last byte has left the VM
   */
  void send(PeerMessage message, Runnable onSent) {
    if (message.isRepeated() && queue.size() >= REPEATED_MESSAGE_LIMIT) {
      return;
    }
    QueuedMessage next = new QueuedMessage(message, bytes(message), onSent);
    if (message.urgent()) {
      queue.addFirst(next);
    } else {
      queue.addLast(next);
    }
    if (!sending) {
      sendNext();
    }
  }

  private void sendNext() {
    sending = !queue.isEmpty();
    if (sending) {
      QueuedMessage next = queue.removeFirst();
      sentBytes.merge(next.message.getClass().getSimpleName(), (long) next.bytes, Long::sum);
      time.after(
          Duration.ofNanos(next.bytes * 1_000_000L / bytesPerMilli),
          () -> {
            next.onSent.run();
            sendNext();
          });
    }
  }

  /**
   * Returns the encoded length of a message; a message sent to many peers in a row is encoded once.
   */
  @SuppressWarnings("ReferenceEquality") // Comparing the contents costs more.
  private int bytes(PeerMessage message) {
    if (message != lastMeasured) {
      try {
        lastBytes = Codecs.messagePack().writeValueAsBytes(message).length;
      } catch (IOException failure) {
        throw new UncheckedIOException(failure);
      }
      lastMeasured = message;
    }
    return lastBytes;
  }

  /** Drops the queue, as the end of the VM's process does. */
  void clear() {
    queue.clear();
  }

  /** Returns the bytes sent, by message type. */
  Map<String, Long> sentBytes() {
    return sentBytes;
  }
}
