package dev.wisteriarail.soak;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Forwards TCP connections to one loopback port and injects network faults.
 *
 * <p>Once bytes of a direction are dropped, that direction of the connection forwards nothing more,
 * as after a network failure. New connections work once the link is open again. Bytes can also be
 * held, for all connections or for those of one process. Life cycle: {@link #start}, then {@link
 * #close}. Thread-safe.
 */
final class LoopbackProxy implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(LoopbackProxy.class);

  /** Delay of a slow link: more than a heartbeat interval, less than the timeout of a peer. */
  private static final long DELAY_MILLIS = 250;

  /**
   * Time from the opening of a link until held bytes are forwarded: the sender's kernel sends them
   * again when its timer fires. It is longer than an order's timeout.
   */
  private static final long RESEND_MILLIS = 1_000;

  /** Interval of checking whether held bytes may be forwarded. */
  private static final int HOLD_POLL_MILLIS = 10;

  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
  private static final int BUFFER_BYTES = 16 * 1024;

  private final ServerSocket listener;
  private final int targetPort;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Set<NodeProcess> heldSenders = ConcurrentHashMap.newKeySet();
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

  /** Starts or stops to hold the bytes of the connections that a process opened. */
  void setHeld(NodeProcess sender, boolean held) {
    if (held) {
      heldSenders.add(sender);
    } else {
      heldSenders.remove(sender);
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
      Sender sender = new Sender(clientSocket.getPort());
      Thread responseThread =
          Thread.ofVirtual()
              .start(() -> forward(serverSocket, clientSocket, sender, LinkState.CUT_TO_CALLER));
      forward(clientSocket, serverSocket, sender, LinkState.CUT_TO_SERVER);
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

  private void forward(Socket from, Socket to, Sender sender, LinkState cutState) {
    byte[] buffer = new byte[BUFFER_BYTES];
    boolean dropping = false;
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int read = in.read(buffer);
      while (read >= 0) {
        if (sender.isHeld()) {
          ByteArrayOutputStream held = new ByteArrayOutputStream();
          held.write(buffer, 0, read);
          read = holdUntilOpen(from, sender, held) ? -1 : 0;
          held.writeTo(out);
          continue;
        }
        dropping |= state == cutState || state == LinkState.SILENT;
        if (state == LinkState.DELAYED) {
          Thread.sleep(DELAY_MILLIS);
        }
        if (!dropping) {
          out.write(buffer, 0, read);
        }
        read = in.read(buffer);
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

  /**
   * Holds what arrives until the link has been open for a while.
   *
   * @return whether the stream has ended
   * @throws IOException if the connection was reset; the held bytes are lost then
   */
  private static boolean holdUntilOpen(Socket from, Sender sender, ByteArrayOutputStream held)
      throws IOException, InterruptedException {
    byte[] buffer = new byte[BUFFER_BYTES];
    boolean endOfStream = false;
    long lastHeld = System.nanoTime();
    from.setSoTimeout(HOLD_POLL_MILLIS);
    while (System.nanoTime() - lastHeld < TimeUnit.MILLISECONDS.toNanos(RESEND_MILLIS)) {
      lastHeld = sender.isHeld() ? System.nanoTime() : lastHeld;
      if (endOfStream) {
        Thread.sleep(HOLD_POLL_MILLIS);
        continue;
      }
      try {
        int read = from.getInputStream().read(buffer);
        endOfStream = read < 0;
        held.write(buffer, 0, Math.max(0, read));
      } catch (SocketTimeoutException idle) {
        LOGGER.trace("nothing arrived on a held connection", idle);
      }
    }
    from.setSoTimeout(0);
    return endOfStream;
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

  /** The process that opened a connection, which is looked up only if it matters. */
  private final class Sender {

    private final int port;
    private final Map<NodeProcess, Boolean> isSender = new ConcurrentHashMap<>();

    Sender(int port) {
      this.port = port;
    }

    boolean isHeld() {
      return state == LinkState.HELD
          || heldSenders.stream()
              .anyMatch(process -> isSender.computeIfAbsent(process, each -> each.hasSocket(port)));
    }
  }
}
