package dev.wisteriarail.gateway;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection that detects whether the caller closed it while a request is in progress.
 *
 * <p>Jetty does not read from a connection between the last byte of a request and the end of its
 * response, so it does not notice that the connection was closed. {@link #isClosedByPeer} reads
 * ahead into a separate buffer, from which Jetty receives the bytes later. Thread-safe.
 */
final class PeekingEndPoint extends SocketChannelEndPoint {

  private static final Logger LOGGER = LogManager.getLogger(PeekingEndPoint.class);

  /** Maximum number of bytes read ahead; once any are buffered, the caller counts as connected. */
  private static final int PEEK_BYTES = 512;

  /** Maximum number of received bytes that are discarded when the connection is closed. */
  private static final int MAX_DISCARDED_BYTES = 1024 * 1024;

  private static final int DISCARD_BUFFER_BYTES = 16 * 1024;

  private final SocketChannel channel;
  private final long acceptedNanos = System.nanoTime();
  private ByteBuffer peeked = ByteBuffer.allocate(0);
  private boolean ended;

  /** Whether received bytes are discarded before the connection is closed. */
  private volatile boolean discardsOnClose;

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
      // Many callers disconnect with a reset; their request is cancelled like after a close.
      ended = true;
    }
    return ended;
  }

  /** Returns whether no request has been read, and the connection is younger than a limit. */
  boolean awaitsFirstRequest(Duration limit) {
    Connection connection = getConnection();
    return (connection == null || connection.getMessagesIn() == 0)
        && System.nanoTime() - acceptedNanos < limit.toNanos();
  }

  /** Makes the next close send a TCP reset, which callers do not mistake for the response's end. */
  void resetOnClose() {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException closed) {
      LOGGER.debug("a connection was closed before it could be reset", closed);
    }
  }

  /**
   * Makes the close discard what the caller has sent after a response that announced the close. A
   * close with unread bytes would reset the connection, and the caller would lose the part of the
   * response that is on its way.
   */
  void discardOnClose() {
    discardsOnClose = true;
  }

  @Override
  public void doClose() {
    try {
      if (discardsOnClose) {
        discardReceived();
      }
    } finally {
      super.doClose();
    }
  }

  private void discardReceived() {
    ByteBuffer buffer = ByteBuffer.allocate(DISCARD_BUFFER_BYTES);
    int discarded = 0;
    try {
      for (int count = channel.read(buffer);
          count > 0 && discarded < MAX_DISCARDED_BYTES;
          count = channel.read(buffer.clear())) {
        discarded += count;
      }
    } catch (IOException closed) {
      LOGGER.debug("a connection was closed by its caller before the node closed it", closed);
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
