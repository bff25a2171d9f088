package dev.wisteriarail.gateway;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection that can tell whether the caller closed it while its request is served.
 *
 * <p>Jetty reads nothing from a connection between a request's last byte and the end of its answer,
 * so it does not see the end of the connection. {@link #isClosedByPeer} reads ahead into a buffer
 * of its own, from which Jetty gets the bytes later. Thread-safe.
 */
final class PeekingEndPoint extends SocketChannelEndPoint {

  private static final Logger LOGGER = LogManager.getLogger(PeekingEndPoint.class);

  /** Bytes that are read ahead; a caller that sends more is still there. */
  private static final int PEEK_BYTES = 512;

  private final SocketChannel channel;
  private ByteBuffer peeked = ByteBuffer.allocate(0);
  private boolean ended;

  PeekingEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
    this.channel = channel;
  }

  /** Returns whether the caller closed or reset the connection. Does not block. */
  synchronized boolean isClosedByPeer() {
    if (ended || !channel.isOpen()) {
      return true;
    }
    if (peeked.hasRemaining()) {
      return false;
    }
    ByteBuffer buffer = ByteBuffer.allocate(PEEK_BYTES);
    try {
      int count = channel.read(buffer);
      if (count > 0) {
        peeked = buffer.flip();
      }
      ended = count < 0;
    } catch (IOException reset) {
      // A reset is how many callers leave; the caller's request is cancelled for it.
      ended = true;
    }
    return ended;
  }

  /** Makes the next close a reset, which no caller takes for the end of an answer. */
  void resetOnClose() {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException closed) {
      LOGGER.debug("a connection was closed before it was reset", closed);
    }
  }

  @Override
  public synchronized int fill(ByteBuffer buffer) throws IOException {
    if (!peeked.hasRemaining()) {
      return super.fill(buffer);
    }
    int position = BufferUtil.flipToFill(buffer);
    int count = BufferUtil.put(peeked, buffer);
    BufferUtil.flipToFlush(buffer, position);
    notIdle();
    return count;
  }

  @Override
  protected void needsFillInterest() {
    boolean available;
    synchronized (this) {
      available = peeked.hasRemaining();
    }
    if (available) {
      getFillInterest().fillable();
    } else {
      super.needsFillInterest();
    }
  }
}
