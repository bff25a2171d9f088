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
  private final int targetPort;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile LinkState state = LinkState.OPEN;

  private LoopbackProxy(ServerSocket listener, int targetPort) {
    this.listener = listener;
    this.targetPort = targetPort;
  }

  /**
   * Starts a proxy on a free port.
   *
   * @param targetPort port on loopback that it passes connections on to
   * @throws SettingsException if no port can be bound
   */
  static LoopbackProxy start(int targetPort) throws SettingsException {
    try {
      ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
      LoopbackProxy proxy = new LoopbackProxy(listener, targetPort);
      Thread.ofVirtual().name("proxy-" + targetPort).start(proxy::acceptConnections);
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
  void setState(LinkState newState) {
    state = newState;
    if (newState == LinkState.RESET) {
      sockets.forEach(LoopbackProxy::reset);
    }
  }

  private void acceptConnections() {
    while (!listener.isClosed()) {
      try {
        Socket clientSocket = listener.accept();
        Thread.ofVirtual().start(() -> connect(clientSocket));
      } catch (IOException closed) {
        if (!listener.isClosed()) {
          LOGGER.warn("a proxy cannot accept", closed);
        }
      }
    }
  }

  private void connect(Socket clientSocket) {
    if (state == LinkState.RESET) {
      reset(clientSocket);
      return;
    }
    Socket serverSocket = new Socket();
    sockets.add(clientSocket);
    sockets.add(serverSocket);
    try {
      serverSocket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort),
          CONNECT_TIMEOUT_MILLIS);
      clientSocket.setTcpNoDelay(true);
      serverSocket.setTcpNoDelay(true);
      Thread responseThread =
          Thread.ofVirtual()
              .start(() -> forward(serverSocket, clientSocket, LinkState.CUT_TO_CALLER));
      forward(clientSocket, serverSocket, LinkState.CUT_TO_SERVER);
      responseThread.join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (IOException unreachable) {
      // The server is down: a caller behind a network sees a reset too.
      reset(clientSocket);
    } finally {
      closeSocket(clientSocket);
      closeSocket(serverSocket);
    }
  }

  private void forward(Socket from, Socket to, LinkState cutState) {
    byte[] buffer = new byte[BUFFER_BYTES];
    boolean dropping = false;
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        dropping |= state == cutState || state == LinkState.SILENT;
        if (state == LinkState.DELAYED) {
          Thread.sleep(DELAY_MILLIS);
        }
        if (!dropping) {
          out.write(buffer, 0, read);
        }
      }
      if (!dropping) {
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
  private void closeSocket(Socket socket) {
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
