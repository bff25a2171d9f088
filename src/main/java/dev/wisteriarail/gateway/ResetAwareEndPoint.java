package dev.wisteriarail.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection to a runner on which a reset is told as an error.
 *
 * <p>Jetty tells a reset as the end of the stream, and an answer without a length ends with the
 * stream: one that a crash cut short would look complete. Thread-safe.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {

  private final SocketChannel channel;

  ResetAwareEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
    this.channel = channel;
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
    } else if (count < 0) {
      shutdownInput();
    }
    return count;
  }
}
