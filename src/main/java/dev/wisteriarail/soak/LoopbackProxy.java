package dev.wisteriarail.soak;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Passes TCP connections on to one address on loopback, and harms them when told to.
 *
 * <p>A direction that lost bytes once stays dead for that connection, as after a cut on a network;
 * new connections work once the link is open again. Life cycle: {@link #start}, then {@link
 * #close}. Thread-safe.
 */
final class LoopbackProxy implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(LoopbackProxy.class);

  /** Delay of a slow link: beyond a heartbeat, below the time in which a peer counts as lost. */
  private static final long DELAY_MILLIS = 250;

  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
  private static final int BUFFER_BYTES = 16 * 1024;

  private final ServerSocket listener;
  private final int target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile LinkState state = LinkState.OPEN;

  private LoopbackProxy(ServerSocket listener, int target) {
    this.listener = listener;
    this.target = target;
  }

  /**
   * Starts a proxy on a free port.
   *
   * @param target port on loopback that it passes connections on to
   * @throws SettingsException if no port can be bound
   */
  static LoopbackProxy start(int target) throws SettingsException {
    try {
      ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
      LoopbackProxy proxy = new LoopbackProxy(listener, target);
      Thread.ofVirtual().name("proxy-" + target).start(proxy::acceptAll);
      return proxy;
    } catch (IOException failure) {
      throw new SettingsException(
          ResultCode.SETTINGS_INVALID, "soak", "no free port on loopback", failure);
    }
  }

  /** Returns its address as host and port. */
  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Changes what it does with all connections. */
  void set(LinkState newState) {
    state = newState;
    if (newState == LinkState.RESET) {
      sockets.forEach(LoopbackProxy::reset);
    }
  }

  private void acceptAll() {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        Thread.ofVirtual().start(() -> connect(near));
      } catch (IOException closed) {
        if (!listener.isClosed()) {
          LOGGER.warn("a proxy cannot accept", closed);
        }
      }
    }
  }

  private void connect(Socket near) {
    if (state == LinkState.RESET) {
      reset(near);
      return;
    }
    Socket far = new Socket();
    sockets.add(near);
    sockets.add(far);
    try {
      far.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), target), CONNECT_TIMEOUT_MILLIS);
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      Thread back = Thread.ofVirtual().start(() -> pump(far, near, LinkState.CUT_TO_CALLER));
      pump(near, far, LinkState.CUT_TO_SERVER);
      back.join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (IOException unreachable) {
      // The server is down: a caller behind a network sees a reset too.
      reset(near);
    } finally {
      end(near);
      end(far);
    }
  }

  private void pump(Socket from, Socket to, LinkState cut) {
    byte[] buffer = new byte[BUFFER_BYTES];
    boolean dead = false;
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        dead |= state == cut || state == LinkState.SILENT;
        if (state == LinkState.DELAYED) {
          Thread.sleep(DELAY_MILLIS);
        }
        if (!dead) {
          out.write(buffer, 0, read);
        }
      }
      if (!dead) {
        to.shutdownOutput();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (IOException broken) {
      // One side is gone, or the link was reset; the other side must see that too.
      reset(from);
      reset(to);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException closed) {
      LOGGER.debug("a socket was closed already", closed);
    }
  }

  /** Closes a socket; what was passed on before still arrives. */
  private void end(Socket socket) {
    sockets.remove(socket);
    try {
      socket.close();
    } catch (IOException failure) {
      LOGGER.debug("a socket did not close", failure);
    }
  }

  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException failure) {
      LOGGER.warn("a proxy did not close", failure);
    }
    sockets.forEach(LoopbackProxy::reset);
  }
}
