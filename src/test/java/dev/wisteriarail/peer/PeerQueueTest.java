package dev.wisteriarail.peer;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.PeerStatus;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.runtime.EventLog;
import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;

/** Tests messages to a peer that reads slowly or not at all. */
final class PeerQueueTest {

  private static final NodeId SELF = NodeId.of("n1");

  /** Much longer than the transport's timeout for acknowledgements. */
  private static final int ACCEPT_TIMEOUT_MILLIS = 30_000;

  private static final long SEND_PAUSE_MILLIS = 10;

  private static FleetMessage.Beat heartbeat() {
    NodeAddress address = new NodeAddress(SELF, Incarnation.of(1), "127.0.0.1", 1, 1_000, 0);
    return FleetMessage.Beat.of(address, List.of(), PeerStatus.UNKNOWN, List.of());
  }

  @Test
  void connectionThatFallsSilentIsReplacedThoughOnlyRepeatedMessagesAreSent() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
        EventLog log = EventLog.forNode(SELF)) {
      listener.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
      TcpPeerTransport transport =
          TcpPeerTransport.create(
              SELF, Incarnation.of(1), Optional.empty(), log, PeerTrafficListener.NONE);
      VmEntry peer =
          new VmEntry(
              NodeId.of("n2"), "127.0.0.1", listener.getLocalPort(), FailureDomain.of("a"), false);
      Thread sender = Thread.startVirtualThread(() -> sendHeartbeats(transport, peer));
      try (Socket silent = listener.accept();
          Socket next = listener.accept()) {
        assertThat(next.getPort()).isNotEqualTo(silent.getPort());
      } finally {
        sender.interrupt();
        transport.close();
      }
    }
  }

  private static void sendHeartbeats(TcpPeerTransport transport, VmEntry peer) {
    try {
      while (true) {
        transport.send(peer, heartbeat());
        Thread.sleep(SEND_PAUSE_MILLIS);
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void repeatedMessagesDoNotQueueUpAndOthersArrive() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        EventLog log = EventLog.forNode(SELF)) {
      TcpPeerTransport transport =
          TcpPeerTransport.create(
              SELF, Incarnation.of(1), Optional.empty(), log, PeerTrafficListener.NONE);
      sendHeartbeatsThenCrash(transport, listener);
      try (Socket socket = listener.accept()) {
        List<PeerMessage> received = readUntilCrash(socket);
        assertThat(received.size()).isAtMost(20);
      }
      transport.close();
    }
  }

  @Test
  void trafficTellsWhatWasSentAndWhatWasLeftOut() throws Exception {
    Recorder traffic = new Recorder();
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        EventLog log = EventLog.forNode(SELF)) {
      TcpPeerTransport transport =
          TcpPeerTransport.create(SELF, Incarnation.of(1), Optional.empty(), log, traffic);
      sendHeartbeatsThenCrash(transport, listener);
      try (Socket socket = listener.accept()) {
        int beats = readUntilCrash(socket).size() - 1;
        assertThat(traffic.skipped.get("Beat")).isEqualTo(100 - beats);
        assertThat(traffic.sent.get("Beat")).isEqualTo(beats);
        assertThat(traffic.bytes.get("Beat")).isAtLeast(beats * Integer.BYTES);
      }
      transport.close();
    }
  }

  private static final class Recorder implements PeerTrafficListener {

    private final Map<String, Integer> sent = new ConcurrentHashMap<>();
    private final Map<String, Integer> bytes = new ConcurrentHashMap<>();
    private final Map<String, Integer> skipped = new ConcurrentHashMap<>();

    @Override
    public void sent(String kind, int length) {
      sent.merge(kind, 1, Integer::sum);
      bytes.merge(kind, length, Integer::sum);
    }

    @Override
    public void skipped(String kind) {
      skipped.merge(kind, 1, Integer::sum);
    }
  }

  private static void sendHeartbeatsThenCrash(TcpPeerTransport transport, ServerSocket listener) {
    VmEntry peer =
        new VmEntry(
            NodeId.of("n2"), "127.0.0.1", listener.getLocalPort(), FailureDomain.of("a"), false);
    for (int i = 0; i < 100; i++) {
      transport.send(peer, heartbeat());
    }
    transport.send(peer, FleetMessage.CrashTold.ofSound(List.of()));
  }

  private static List<PeerMessage> readUntilCrash(Socket socket) throws Exception {
    List<PeerMessage> received = new ArrayList<>();
    DataInputStream in = new DataInputStream(socket.getInputStream());
    do {
      received.add(FrameCodec.read(in).message());
    } while (!(received.getLast() instanceof FleetMessage.CrashTold));
    return received;
  }
}
