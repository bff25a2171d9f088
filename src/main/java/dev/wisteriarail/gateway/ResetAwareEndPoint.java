package dev.wisteriarail.gateway;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection to a runner or to the store that reports a reset as an error and limits the bytes
 * that it reads without progress of a response.
 *
 * <p>Jetty reports a reset as the end of the stream. A response without a length ends with its
 * stream, so one that was truncated by a crash would appear complete. Jetty also reads without
 * limit while bytes arrive, for example within a chunk's size. Thread-safe.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {

  private static final Logger LOGGER = LogManager.getLogger(ResetAwareEndPoint.class);

  /** Maximum bytes read without progress; above the size of the longest buffered response. */
  private static final long MAX_BYTES_WITHOUT_PROGRESS = 12L * 1024 * 1024;

  private final SocketChannel channel;
  private final boolean resetOnClose;
  private final AtomicLong bytesWithoutProgress = new AtomicLong();
  private volatile boolean answered;
  private volatile long lastAnswerNanos;

  ResetAwareEndPoint(
      SocketChannel channel,
      ManagedSelector selector,
      SelectionKey key,
      Scheduler scheduler,
      boolean resetOnClose) {
    super(channel, selector, key, scheduler);
    this.channel = channel;
    this.resetOnClose = resetOnClose;
    if (resetOnClose) {
      try {
        // Set from the start, so that the end of the process resets the connection, too.
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException closed) {
        LOGGER.debug("a connection was closed before it was used", closed);
      }
    }
  }

  /**
   * Does nothing if the connection is to be reset: the end of the stream would follow its bytes.
   */
  @Override
  protected void doShutdownOutput() {
    if (!resetOnClose) {
      super.doShutdownOutput();
    }
  }

  /** Records progress of a response: its head is complete, or a part of its body arrived. */
  void recordProgress() {
    bytesWithoutProgress.set(0);
    lastAnswerNanos = System.nanoTime();
    answered = true;
  }

  /** Returns whether a part of a response arrived within the given time. */
  boolean hasAnsweredWithin(Duration time) {
    return answered && System.nanoTime() - lastAnswerNanos <= time.toNanos();
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (isInputShutdown()) {
      return -1;
    }
    int position = BufferUtil.flipToFill(buffer);
    int count;
    try {
      count = channel.read(buffer);
    } catch (IOException reset) {
      throw new EofException(reset);
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
    if (count > 0) {
      notIdle();
      if (bytesWithoutProgress.addAndGet(count) > MAX_BYTES_WITHOUT_PROGRESS) {
        throw new EofException("too many bytes arrived without progress of a response");
      }
    } else if (count < 0) {
      shutdownInput();
    }
    return count;
  }
}
