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
 * Forwards TCP connections to one loopback port and injects network faults.
 *
 * <p>Once bytes of a direction are dropped, that direction of the connection forwards nothing more,
 * as after a network failure. New connections work once the link is open again. Life cycle: {@link
 * #start}, then {@link #close}. Thread-safe.
 */
final class LoopbackProxy implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(LoopbackProxy.class);

  /** Delay of a slow link: more than a heartbeat interval, less than the timeout of a peer. */
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
   * @param targetPort loopback port to which connections are forwarded
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

  /** Returns the address of the proxy as host and port. */
  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Sets the state of the link for all connections. */
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
          LOGGER.warn("a proxy failed to accept a connection", closed);
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
      // The server is down: the caller gets a reset, as without a proxy.
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
      // One side closed its connection or the link was reset: the other side gets a reset too.
      reset(from);
      reset(to);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException closed) {
      LOGGER.debug("a socket is already closed", closed);
    }
  }

  /** Closes a socket; bytes that were forwarded before still arrive. */
  private void closeSocket(Socket socket) {
    sockets.remove(socket);
    try {
      socket.close();
    } catch (IOException failure) {
      LOGGER.debug("failed to close a socket", failure);
    }
  }

  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException failure) {
      LOGGER.warn("failed to close a proxy", failure);
    }
    sockets.forEach(LoopbackProxy::reset);
  }
}
