package dev.wisteriarail.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicLong;
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

  /** Maximum bytes read without progress; above the size of the longest buffered response. */
  private static final long MAX_BYTES_WITHOUT_PROGRESS = 12L * 1024 * 1024;

  private final SocketChannel channel;
  private final AtomicLong bytesWithoutProgress = new AtomicLong();

  ResetAwareEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
    this.channel = channel;
  }

  /** Records progress of a response: its head is complete, or a part of its body arrived. */
  void recordProgress() {
    bytesWithoutProgress.set(0);
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
