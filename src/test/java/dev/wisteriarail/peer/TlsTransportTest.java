package dev.wisteriarail.peer;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.runtime.EventLog;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the transport of messages over mutual TLS. */
class TlsTransportTest {

  private static final Path KEYS = Path.of("src", "test", "resources", "tls");
  private static final NodeId N1 = NodeId.of("n1");
  private static final NodeId N2 = NodeId.of("n2");
  private static final long LIMIT_SECONDS = 30;

  @Test
  void messageArrivesOverMutualTls() throws Exception {
    BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    ServerSocket socket = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    EventLog log = EventLog.forNode(N1);
    try (TcpPeerServer server = TcpPeerServer.start(socket, tls("n1"), events::add, log);
        TcpPeerTransport transport =
            TcpPeerTransport.create(
                N2, Incarnation.of(3), tls("n2"), EventLog.forNode(N2), PeerTrafficListener.NONE)) {
      String host = socket.getInetAddress().getHostAddress();
      VmEntry peer = new VmEntry(N1, host, socket.getLocalPort(), FailureDomain.of("fd1"), false);
      transport.send(peer, new PeerMessage.Probe());
      assertThat(events.poll(LIMIT_SECONDS, TimeUnit.SECONDS))
          .isEqualTo(new Event.PeerReceived(N2, Incarnation.of(3), new PeerMessage.Probe()));
      assertThat(server).isNotNull();
    }
  }

  private static Optional<PeerTls> tls(String node) throws SettingsException {
    TlsFiles files =
        new TlsFiles(
            KEYS.resolve(node + ".key").toString(),
            KEYS.resolve(node + ".crt").toString(),
            KEYS.resolve("fleet.crt").toString(),
            Optional.empty());
    return Optional.of(PeerTls.load(files, () -> Instant.EPOCH));
  }
}
