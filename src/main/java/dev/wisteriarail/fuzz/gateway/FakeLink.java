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
 * What leaves one VM for its peers: one message after the other, at the rate of its link. Urgent
 * messages go before the others that wait; repeated ones are left out while many wait, as in the
 * transport. Not thread-safe.
 */
final class FakeLink {

  /** Messages that wait beyond which repeated ones are left out. */
  private static final int REPEATED_MESSAGE_LIMIT = 12;

  private final VirtualScheduler time;
  private final long bytesPerMilli;
  private final Deque<QueuedMessage> queue = new ArrayDeque<>();
  private final Map<String, Long> sentBytes = new TreeMap<>();
  private PeerMessage lastMeasured;
  private int lastBytes;
  private boolean sending;

  private record QueuedMessage(PeerMessage message, int bytes, Runnable arrival) {}

  FakeLink(VirtualScheduler time, long bytesPerMilli) {
    this.time = time;
    this.bytesPerMilli = bytesPerMilli;
  }

  /**
   * Sends a message after those that wait.
   *
   * @param arrival what happens when its last byte has left the VM
   */
  void send(PeerMessage message, Runnable arrival) {
    if (message.isRepeated() && queue.size() >= REPEATED_MESSAGE_LIMIT) {
      return;
    }
    QueuedMessage next = new QueuedMessage(message, bytes(message), arrival);
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
            next.arrival.run();
            sendNext();
          });
    }
  }

  /** Returns the length of a message; one that goes to many peers in a row is measured once. */
  @SuppressWarnings("ReferenceEquality") // The same object; comparing its content costs more.
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

  /** Loses what waits, as the VM's process ended. */
  void clear() {
    queue.clear();
  }

  /** Returns the bytes that left the VM, by kind of message. */
  Map<String, Long> sentBytes() {
    return sentBytes;
  }
}
