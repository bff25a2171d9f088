package dev.wisteriarail.peer;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.core.result.PeerException;
import dev.wisteriarail.runtime.EventLog;
import dev.wisteriarail.spi.PeerTransport;
import java.io.BufferedOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends frames to peers, using one connection and one bounded queue per peer.
 *
 * <p>Messages are dropped if the peer is unreachable or its queue is full; the core repeats those
 * that matter. Life cycle: {@link #create}, then {@link #close}. Thread-safe.
 */
public final class TcpPeerTransport implements PeerTransport {

  private static final int QUEUE_LIMIT = 256;

  /**
   * Number of queued and unacknowledged frames to a peer from which repeated messages are skipped.
   * A heartbeat that waits behind more frames would arrive late and present outdated state as
   * current. Corresponds to about half a second of a coordinator's messages.
   */
  private static final int REPEATED_MESSAGE_LIMIT = 12;

  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);
  private static final Duration RECONNECT_DELAY_AFTER_REFUSAL = Duration.ofSeconds(5);

  /**
   * Time within which a peer must acknowledge a frame. A connection may stop delivering data
   * without an error; after this time, a few heartbeats, it is closed.
   */
  private static final int ACKNOWLEDGE_TIMEOUT_MILLIS = 700;

  private final NodeId self;
  private final Incarnation incarnation;
  private final Optional<PeerTls> tls;
  private final EventLog log;
  private final PeerTrafficListener traffic;
  private final Map<NodeId, PeerConnection> connections = new ConcurrentHashMap<>();
  private volatile EncodedMessage lastEncoded;

  private TcpPeerTransport(
      NodeId self,
      Incarnation incarnation,
      Optional<PeerTls> tls,
      EventLog log,
      PeerTrafficListener traffic) {
    this.self = self;
    this.incarnation = incarnation;
    this.tls = tls;
    this.log = log;
    this.traffic = traffic;
  }

  /**
   * Creates a transport without connections.
   *
   * @param tls authenticates peers and encrypts the connections; empty for plain TCP
   * @param log the node's event log
   * @param traffic receives the number and size of the messages sent
   */
  public static TcpPeerTransport create(
      NodeId self,
      Incarnation incarnation,
      Optional<PeerTls> tls,
      EventLog log,
      PeerTrafficListener traffic) {
    return new TcpPeerTransport(self, incarnation, tls, log, traffic);
  }

  @Override
  public void send(VmEntry peer, PeerMessage message) {
    PeerConnection connection =
        connections.compute(
            peer.node(),
            (node, existing) ->
                existing != null && existing.hasAddressOf(peer)
                    ? existing
                    : replace(existing, peer));
    try {
      if (!message.isRepeated() || connection.acceptsRepeated()) {
        connection.offer(encode(message), message.urgent());
      } else {
        traffic.skipped(kind(message));
      }
    } catch (IOException failure) {
      log.write(
          NodeEvent.of(
              EventCode.PEER_REFUSED,
              "peer",
              peer.node(),
              "reason",
              "cannot be encoded: " + failure));
    }
  }

  @Override
  public void warmUpCodec(PeerMessage message) {
    try {
      FrameCodec.warmUp(new PeerFrame(PeerFrame.VERSION, self, incarnation, message));
    } catch (IOException | PeerException failure) {
      log.write(
          NodeEvent.of(
              EventCode.NODE_FAULT,
              "part",
              "warm-up of the message codec",
              "fault",
              failure.toString()));
    }
  }

  /** Encodes a message. A message sent to several peers in succession is encoded only once. */
  @SuppressWarnings("ReferenceEquality") // Identity suffices; comparing contents costs more.
  private OutgoingFrame encode(PeerMessage message) throws IOException {
    EncodedMessage cached = lastEncoded;
    if (cached == null || cached.message != message) {
      cached =
          new EncodedMessage(
              message,
              OutgoingFrame.of(
                  kind(message),
                  FrameCodec.encode(new PeerFrame(PeerFrame.VERSION, self, incarnation, message))));
      lastEncoded = cached;
    }
    return cached.frame;
  }

  private static String kind(PeerMessage message) {
    return message.getClass().getSimpleName();
  }

  private PeerConnection replace(PeerConnection existing, VmEntry peer) {
    if (existing != null) {
      existing.stop();
    }
    return PeerConnection.start(peer, tls, log, traffic);
  }

  @Override
  public void close() {
    connections.values().forEach(PeerConnection::shutDown);
  }

  /** A message and its encoded frame. */
  private static final class EncodedMessage {

    private final PeerMessage message;
    private final OutgoingFrame frame;

    EncodedMessage(PeerMessage message, OutgoingFrame frame) {
      this.message = message;
      this.frame = frame;
    }
  }

  /** The connection to one peer and its queue of frames. */
  private static final class PeerConnection {

    private final VmEntry peer;
    private final Optional<PeerTls> tls;
    private final EventLog log;
    private final PeerTrafficListener traffic;
    private final FrameQueue queue = FrameQueue.create(QUEUE_LIMIT);
    private final Thread thread;

    /** Number of unacknowledged frames on the current connection; 0 once the connection ended. */
    private volatile AtomicLong unacknowledged = new AtomicLong();

    private volatile boolean shuttingDown;

    private PeerConnection(
        VmEntry peer, Optional<PeerTls> tls, EventLog log, PeerTrafficListener traffic) {
      this.peer = peer;
      this.tls = tls;
      this.log = log;
      this.traffic = traffic;
      thread = Thread.ofVirtual().name("peer-" + peer.node()).unstarted(this::run);
    }

    static PeerConnection start(
        VmEntry peer, Optional<PeerTls> tls, EventLog log, PeerTrafficListener traffic) {
      PeerConnection link = new PeerConnection(peer, tls, log, traffic);
      link.thread.start();
      return link;
    }

    boolean hasAddressOf(VmEntry entry) {
      return peer.host().equals(entry.host()) && peer.port() == entry.port();
    }

    boolean acceptsRepeated() {
      return queue.size() + unacknowledged.get() < REPEATED_MESSAGE_LIMIT;
    }

    void offer(OutgoingFrame frame, boolean urgent) {
      queue.offer(frame, urgent);
    }

    void stop() {
      thread.interrupt();
    }

    void shutDown() {
      shuttingDown = true;
      if (queue.isEmpty()) {
        stop();
      }
    }

    private void run() {
      try {
        while (true) {
          Duration delay = connectAndWrite();
          if (shuttingDown) {
            return;
          }
          Thread.sleep(delay);
          queue.clear();
        }
      } catch (InterruptedException stopped) {
        Thread.currentThread().interrupt();
      }
    }

    /** Writes frames until the connection ends; returns the delay before the next connection. */
    private Duration connectAndWrite() throws InterruptedException {
      try (Socket plain = new Socket()) {
        plain.connect(new InetSocketAddress(peer.host(), peer.port()), CONNECT_TIMEOUT_MILLIS);
        plain.setTcpNoDelay(true);
        writeFrames(tls.isPresent() ? tls.get().connect(plain, peer.node()) : plain);
      } catch (PeerException refused) {
        log.write(
            NodeEvent.of(
                EventCode.PEER_REFUSED,
                "peer",
                peer.node(),
                "code",
                refused.code().label(),
                "reason",
                refused.describe()));
        return RECONNECT_DELAY_AFTER_REFUSAL;
      } catch (IOException unreachable) {
        // The core detects this by missing heartbeats; the connection is retried after a delay.
      }
      return RECONNECT_DELAY;
    }

    private void writeFrames(Socket socket) throws IOException, InterruptedException {
      long generation = generation();
      AtomicLong sent = new AtomicLong();
      unacknowledged = sent;
      Thread.ofVirtual().name("peer-acknowledge").start(() -> readAcknowledgements(socket, sent));
      try (DataOutputStream out =
          new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()))) {
        while ((!shuttingDown || !queue.isEmpty()) && generation == generation()) {
          OutgoingFrame frame = queue.take();
          sent.incrementAndGet();
          FrameCodec.write(out, frame.bytes());
          traffic.sent(frame.kind(), Integer.BYTES + frame.bytes().length);
        }
      }
    }

    /**
     * Reads acknowledgements, and closes the connection when one is overdue. The writer then fails
     * at its next frame.
     */
    private static void readAcknowledgements(Socket socket, AtomicLong sent) {
      try (socket) {
        socket.setSoTimeout(ACKNOWLEDGE_TIMEOUT_MILLIS);
        InputStream in = socket.getInputStream();
        boolean alive = true;
        while (alive) {
          alive = readAcknowledgement(in, sent);
        }
      } catch (IOException closed) {
        // The writer fails on the closed connection and opens another one.
      } finally {
        // Otherwise REPEATED_MESSAGE_LIMIT could suppress the next frame, at which the writer
        // fails.
        sent.set(0);
      }
    }

    /** Waits for one acknowledgement; returns false if it is overdue or the connection ended. */
    private static boolean readAcknowledgement(InputStream in, AtomicLong sent) throws IOException {
      long before = sent.get();
      try {
        if (in.read() < 0) {
          return false;
        }
        sent.decrementAndGet();
        return true;
      } catch (SocketTimeoutException silent) {
        return before == 0;
      }
    }

    private long generation() {
      return tls.map(PeerTls::generation).orElse(0L);
    }
  }
}
