package dev.wisteriarail.peer;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.result.PeerException;
import dev.wisteriarail.runtime.EventLog;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import javax.net.ssl.SSLSocket;

/**
 * Accepts connections from peers, acknowledges their frames and passes on their messages.
 *
 * <p>Life cycle: {@link #start}, then {@link #close}. Thread-safe.
 */
public final class TcpPeerServer implements AutoCloseable {

  /** Byte written back for each frame received; its value has no meaning. */
  private static final int ACKNOWLEDGEMENT = 1;

  private final ServerSocket server;
  private final Optional<PeerTls> tls;
  private final Consumer<Event.PeerReceived> events;
  private final EventLog log;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  private TcpPeerServer(
      ServerSocket server,
      Optional<PeerTls> tls,
      Consumer<Event.PeerReceived> events,
      EventLog log) {
    this.server = server;
    this.tls = tls;
    this.events = events;
    this.log = log;
  }

  /**
   * Starts accepting connections.
   *
   * @param server a bound server socket
   * @param tls authenticates peers and encrypts the connections; empty for plain TCP
   * @param events receives the messages
   * @param log the node's event log
   */
  public static TcpPeerServer start(
      ServerSocket server,
      Optional<PeerTls> tls,
      Consumer<Event.PeerReceived> events,
      EventLog log) {
    TcpPeerServer peers = new TcpPeerServer(server, tls, events, log);
    Thread.ofVirtual().name("peer-accept").start(peers::acceptConnections);
    return peers;
  }

  private void acceptConnections() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connections.add(socket);
        Thread.ofVirtual().name("peer-read").start(() -> readFrames(socket));
      } catch (IOException closed) {
        if (!server.isClosed()) {
          log.write(NodeEvent.of(EventCode.PEER_REFUSED, "reason", closed));
        }
      }
    }
  }

  private void readFrames(Socket plain) {
    try (plain;
        Socket socket = tls.isPresent() ? tls.get().accept(plain) : plain) {
      long generation = generation();
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      OutputStream out = socket.getOutputStream();
      while (!server.isClosed() && generation == generation()) {
        PeerFrame frame = FrameCodec.read(in);
        out.write(ACKNOWLEDGEMENT);
        out.flush();
        if (socket instanceof SSLSocket secure) {
          tls.get().checkName(secure, frame.from());
        }
        events.accept(new Event.PeerReceived(frame.from(), frame.incarnation(), frame.message()));
      }
    } catch (PeerException refused) {
      log.write(
          NodeEvent.of(
              EventCode.PEER_REFUSED,
              "address",
              plain.getRemoteSocketAddress(),
              "code",
              refused.code().label(),
              "reason",
              refused.describe()));
    } catch (IOException gone) {
      // The peer closed the connection; it opens a new one for its next message.
    } finally {
      connections.remove(plain);
    }
  }

  private long generation() {
    return tls.map(PeerTls::generation).orElse(0L);
  }

  @Override
  public void close() {
    closeQuietly(server);
    connections.forEach(TcpPeerServer::closeQuietly);
  }

  private static void closeQuietly(Closeable closeable) {
    try {
      closeable.close();
    } catch (IOException alreadyClosed) {
      // Nothing to close.
    }
  }
}
