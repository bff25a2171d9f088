package dev.wisteriarail.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.result.PeerException;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests mutual TLS between nodes. The keys and certificates are in src/test/resources/tls, where a
 * README describes how they were created.
 */
class PeerTlsTest {

  private static final Path KEYS = Path.of("src", "test", "resources", "tls");
  private static final NodeId N2 = NodeId.of("n2");

  @TempDir Path folder;
  private Instant now = Instant.EPOCH;
  private final InstantSource clock = () -> now;

  @Test
  void peersWithCertificatesOfTheFleetTalk() throws Exception {
    assertThat(tryHandshake(tls("n1", "fleet"), tls("n2", "fleet"), N2)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "stranger, fleet, n2, signed by another authority",
    "stranger, other, n2, trusts another authority only",
    "n2, fleet, n3, is another node",
  })
  void peerWithoutTheRightCertificateIsRefused(
      String certificate, String trust, String expected, String why) throws Exception {
    Optional<PeerException> refusal =
        tryHandshake(tls("n1", "fleet"), tls(certificate, trust), NodeId.of(expected));
    assertThat(refusal).isPresent();
    assertThat(refusal.get().code()).isEqualTo(ResultCode.PEER_UNTRUSTED);
  }

  @Test
  void peerThatSpeaksWithoutTlsIsRefused() throws Exception {
    PeerTls server = tls("n1", "fleet");
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket plain = new Socket(listener.getInetAddress(), listener.getLocalPort());
        Socket accepted = listener.accept()) {
      plain.getOutputStream().write(new byte[] {0, 0, 0, 1, 5, 5, 5, 5, 5, 5, 5, 5});
      plain.shutdownOutput();
      PeerException refusal = assertThrows(PeerException.class, () -> server.accept(accepted));
      assertThat(refusal.code()).isEqualTo(ResultCode.PEER_UNTRUSTED);
    }
  }

  @Test
  void frameFromAnotherNodeThanTheCertificateNamesIsRefused() throws Exception {
    PeerTls server = tls("n1", "fleet");
    PeerTls client = tls("n2", "fleet");
    try (SocketPair pair = new SocketPair();
        SSLSocket secure = pair.connect(server, client, NodeId.of("n1"))) {
      server.checkName(secure, N2);
      PeerException refusal =
          assertThrows(PeerException.class, () -> server.checkName(secure, NodeId.of("n3")));
      assertThat(refusal.code()).isEqualTo(ResultCode.PEER_UNTRUSTED);
    }
  }

  @Test
  void renewedCertificateIsUsedWithoutRestart() throws Exception {
    copy("n2", "n2-renewed");
    PeerTls client = PeerTls.load(files(folder, "n2", "fleet"), clock);
    PeerTls server = tls("n1", "fleet");
    final String before = serial(server, client);
    copyOver("n2-renewed", "n2");
    assertThat(client.generation()).isEqualTo(1);
    now = now.plus(Duration.ofSeconds(5));
    assertThat(client.generation()).isEqualTo(2);
    assertThat(serial(server, client)).isNotEqualTo(before);
  }

  @Test
  void brokenFilesLeaveTheEarlierOnesInForce() throws Exception {
    copy("n2", "n2-renewed");
    PeerTls client = PeerTls.load(files(folder, "n2", "fleet"), clock);
    Files.writeString(folder.resolve("n2.key"), "half of a ke");
    now = now.plus(Duration.ofSeconds(5));
    assertThat(client.generation()).isEqualTo(1);
    assertThat(tryHandshake(tls("n1", "fleet"), client, N2)).isEmpty();
  }

  @Test
  void unusableFilesAreToldAtTheStart() {
    TlsFiles missing = new TlsFiles("none.key", "none.crt", "none.crt", Optional.empty());
    SettingsException problem =
        assertThrows(SettingsException.class, () -> PeerTls.load(missing, clock));
    assertThat(problem.describe()).contains("peer.tls");
  }

  // Helpers

  /** Opens a connection from client to server; returns the refusal of either side, if any. */
  private static Optional<PeerException> tryHandshake(
      PeerTls client, PeerTls server, NodeId expected) throws IOException {
    try (SocketPair pair = new SocketPair()) {
      CompletableFuture<SSLSocket> accepted = pair.acceptLater(server);
      SSLSocket secure = client.connect(pair.clientSocket, expected);
      secure.getOutputStream().write(1);
      accepted.join();
      return Optional.empty();
    } catch (PeerException refused) {
      return Optional.of(refused);
    } catch (CompletionException refused) {
      return Optional.of((PeerException) refused.getCause());
    }
  }

  /** Returns the serial number of the client's certificate as received by the server. */
  private static String serial(PeerTls server, PeerTls client) throws Exception {
    try (SocketPair pair = new SocketPair();
        SSLSocket secure = pair.connect(server, client, NodeId.of("n1"))) {
      X509Certificate seen = (X509Certificate) secure.getSession().getPeerCertificates()[0];
      return seen.getSerialNumber().toString();
    }
  }

  private PeerTls tls(String name, String trust) throws SettingsException {
    return PeerTls.load(files(KEYS, name, trust), clock);
  }

  private static TlsFiles files(Path keys, String name, String trust) {
    return new TlsFiles(
        keys.resolve(name + ".key").toString(),
        keys.resolve(name + ".crt").toString(),
        KEYS.resolve(trust + ".crt").toString(),
        Optional.empty());
  }

  private void copy(String... names) throws IOException {
    for (String name : names) {
      Files.copy(KEYS.resolve(name + ".key"), folder.resolve(name + ".key"));
      Files.copy(KEYS.resolve(name + ".crt"), folder.resolve(name + ".crt"));
    }
  }

  private void copyOver(String from, String to) throws IOException {
    Files.writeString(folder.resolve(to + ".key"), Files.readString(folder.resolve(from + ".key")));
    Files.writeString(folder.resolve(to + ".crt"), Files.readString(folder.resolve(from + ".crt")));
  }

  /** Both ends of a connection on the loopback interface. */
  private static final class SocketPair implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final Socket clientSocket =
        new Socket(listener.getInetAddress(), listener.getLocalPort());
    private final Socket serverSocket = listener.accept();

    private SocketPair() throws IOException {}

    /** Performs the handshake on both ends and returns the server's end. */
    SSLSocket connect(PeerTls server, PeerTls client, NodeId expected) throws Exception {
      CompletableFuture<SSLSocket> accepted = acceptLater(server);
      client.connect(clientSocket, expected);
      return accepted.join();
    }

    CompletableFuture<SSLSocket> acceptLater(PeerTls server) {
      return CompletableFuture.supplyAsync(
          () -> {
            try {
              return server.accept(serverSocket);
            } catch (PeerException refused) {
              closeServerSocket();
              throw new CompletionException(refused);
            }
          });
    }

    private void closeServerSocket() {
      try {
        serverSocket.close();
      } catch (IOException alreadyClosed) {
        // Nothing to close.
      }
    }

    @Override
    public void close() throws IOException {
      clientSocket.close();
      serverSocket.close();
      listener.close();
    }
  }
}
