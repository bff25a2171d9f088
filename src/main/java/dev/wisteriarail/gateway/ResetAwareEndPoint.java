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
 * A connection to a runner or to the store on which a reset is told as an error, and on which bytes
 * that bring no answer forward come to an end.
 *
 * <p>Jetty tells a reset as the end of the stream, and an answer without a length ends with the
 * stream: one that a crash cut short would look complete. It also reads on for as long as bytes
 * come, for example in the size of a chunk. Thread-safe.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {

  /** Bytes that may come without progress: above the longest answer that is held whole. */
  private static final long MAX_BYTES_WITHOUT_PROGRESS = 12L * 1024 * 1024;

  private final SocketChannel channel;
  private final AtomicLong bytesWithoutProgress = new AtomicLong();

  ResetAwareEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
    this.channel = channel;
  }

  /** Notes that an answer goes on: its head is whole, or a part of its body came. */
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
        throw new EofException("bytes came without end and were no answer");
      }
    } else if (count < 0) {
      shutdownInput();
    }
    return count;
  }
}
