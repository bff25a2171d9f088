package dev.wisteriarail.peer;

import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.result.PeerException;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.cert.Certificate;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;
import javax.net.ssl.SSLSocket;

/**
 * Mutual TLS between nodes, with keys and certificates from PEM files.
 *
 * <p>The files are checked again every few seconds. When they have changed and are valid, new
 * connections use them and {@link #generation} increases, which causes existing connections to be
 * replaced. If they are invalid, the previous ones remain in use. Thread-safe.
 */
public final class PeerTls {

  private static final Duration CHECK_INTERVAL = Duration.ofSeconds(5);
  private static final int HANDSHAKE_TIMEOUT_MILLIS = 3_000;

  /** Type of a DNS name in the alternative names of a certificate (RFC 5280). */
  private static final int DNS_NAME = 2;

  /** The context in use, the contents of the files it was created from, and its number. */
  private record State(SSLContext context, List<byte[]> contents, long generation) {}

  private final TlsFiles files;
  private final InstantSource clock;
  private volatile State state;
  private Instant nextCheck;

  private PeerTls(TlsFiles files, InstantSource clock, State state) {
    this.files = files;
    this.clock = clock;
    this.state = state;
    nextCheck = clock.instant().plus(CHECK_INTERVAL);
  }

  /**
   * Loads the files.
   *
   * @throws SettingsException if a file cannot be read or is invalid
   */
  public static PeerTls load(TlsFiles files, InstantSource clock) throws SettingsException {
    try {
      List<byte[]> contents = readFiles(files);
      return new PeerTls(files, clock, new State(PemFiles.createContext(contents), contents, 1));
    } catch (IOException | GeneralSecurityException unusable) {
      throw new SettingsException(
          ResultCode.SETTINGS_INVALID, "peer.tls", "cannot be used: " + unusable, unusable);
    }
  }

  // Connections

  /**
   * Performs the TLS handshake on an accepted connection; the peer must present a trusted
   * certificate.
   *
   * @throws PeerException if the peer is not trusted
   */
  public SSLSocket accept(Socket plain) throws PeerException {
    return handshake(plain, false);
  }

  /**
   * Performs the TLS handshake on a connection opened by this node.
   *
   * @throws PeerException if the peer is not trusted, or is not the expected node
   */
  public SSLSocket connect(Socket plain, NodeId expected) throws PeerException {
    SSLSocket secure = handshake(plain, true);
    checkName(secure, expected);
    return secure;
  }

  private SSLSocket handshake(Socket plain, boolean client) throws PeerException {
    try {
      refresh();
      String host = plain.getInetAddress().getHostAddress();
      SSLSocket secure =
          (SSLSocket)
              state.context().getSocketFactory().createSocket(plain, host, plain.getPort(), true);
      secure.setUseClientMode(client);
      secure.setNeedClientAuth(true);
      int timeout = plain.getSoTimeout();
      secure.setSoTimeout(HANDSHAKE_TIMEOUT_MILLIS);
      secure.startHandshake();
      secure.setSoTimeout(timeout);
      return secure;
    } catch (IOException refused) {
      throw new PeerException(
          ResultCode.PEER_UNTRUSTED, "handshake", String.valueOf(refused.getMessage()), refused);
    }
  }

  /**
   * Checks that the peer's certificate contains the name of a node, or the shared name.
   *
   * @throws PeerException if it contains neither
   */
  public void checkName(SSLSocket secure, NodeId claimed) throws PeerException {
    List<String> names = certificateNames(secure.getSession());
    boolean shared = files.sharedName().filter(names::contains).isPresent();
    if (!shared && !names.contains(claimed.value())) {
      throw new PeerException(
          ResultCode.PEER_UNTRUSTED,
          "node " + claimed,
          "its certificate is for " + String.join(", ", names));
    }
  }

  private static List<String> certificateNames(SSLSession session) throws PeerException {
    try {
      Certificate[] chain = session.getPeerCertificates();
      X509Certificate certificate = (X509Certificate) chain[0];
      Collection<List<?>> alternatives = certificate.getSubjectAlternativeNames();
      if (alternatives == null) {
        return commonNames(certificate);
      }
      return alternatives.stream()
          .filter(name -> name.getFirst().equals(DNS_NAME))
          .map(name -> String.valueOf(name.get(1)))
          .toList();
    } catch (SSLPeerUnverifiedException
        | CertificateParsingException
        | InvalidNameException unreadable) {
      throw new PeerException(
          ResultCode.PEER_UNTRUSTED, "certificate", unreadable.toString(), unreadable);
    }
  }

  private static List<String> commonNames(X509Certificate certificate) throws InvalidNameException {
    return new LdapName(certificate.getSubjectX500Principal().getName())
        .getRdns().stream()
            .filter(part -> part.getType().equalsIgnoreCase("CN"))
            .map(part -> String.valueOf(part.getValue()))
            .toList();
  }

  // Rotation

  /** Returns a number that increases whenever changed files are put into use. */
  public long generation() {
    refresh();
    return state.generation();
  }

  private synchronized void refresh() {
    Instant now = clock.instant();
    if (now.isBefore(nextCheck)) {
      return;
    }
    nextCheck = now.plus(CHECK_INTERVAL);
    try {
      List<byte[]> contents = readFiles(files);
      if (!haveSameContents(contents, state.contents())) {
        state = new State(PemFiles.createContext(contents), contents, state.generation() + 1);
      }
    } catch (IOException | GeneralSecurityException unusable) {
      // Partially written or invalid files are ignored until the next check.
    }
  }

  private static List<byte[]> readFiles(TlsFiles files) throws IOException {
    return List.of(
        Files.readAllBytes(Path.of(files.key())),
        Files.readAllBytes(Path.of(files.certificate())),
        Files.readAllBytes(Path.of(files.trust())));
  }

  private static boolean haveSameContents(List<byte[]> first, List<byte[]> second) {
    for (int i = 0; i < first.size(); i++) {
      if (!Arrays.equals(first.get(i), second.get(i))) {
        return false;
      }
    }
    return true;
  }
}
