package dev.wisteriarail.http;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.NodeStatus;
import dev.wisteriarail.core.result.ResultCode;
import java.io.IOException;
import java.util.Optional;

/**
 * Serves a node's status as JSON to operators.
 *
 * <p>The page is off unless the settings contain the hash of the operators' token, because it shows
 * the models of every customer. Thread-safe.
 */
public final class StatusPage {

  private static final String SCHEME = "Bearer ";

  /** Supplies the status. */
  @FunctionalInterface
  public interface Source {

    /** Returns the status; empty if the core does not answer in time. */
    Optional<NodeStatus> status() throws InterruptedException;
  }

  /** A page that is turned off: it answers as an unknown path. */
  public static final StatusPage OFF = new StatusPage(Optional.empty(), Optional::empty);

  private final Optional<String> tokenHash;
  private final Source source;

  private StatusPage(Optional<String> tokenHash, Source source) {
    this.tokenHash = tokenHash;
    this.source = source;
  }

  /**
   * Returns a status page.
   *
   * @param tokenHash SHA-256 of the operators' token; empty to turn the page off
   * @param source supplies the status
   */
  public static StatusPage create(Optional<String> tokenHash, Source source) {
    return new StatusPage(tokenHash, source);
  }

  /**
   * Returns the status as JSON.
   *
   * @param authorization the Authorization header; null if there is none
   */
  String render(String authorization) throws RefusedException, IOException, InterruptedException {
    if (tokenHash.isEmpty()) {
      throw RefusedException.of(ResultCode.NOT_FOUND, "no path /status");
    }
    boolean authorized =
        authorization != null
            && authorization.startsWith(SCHEME)
            && Authenticator.hash(authorization.substring(SCHEME.length())).equals(tokenHash.get());
    if (!authorized) {
      throw RefusedException.of(ResultCode.UNAUTHENTICATED, "send the operators' bearer token");
    }
    Optional<NodeStatus> status = source.status();
    if (status.isEmpty()) {
      throw RefusedException.of(ResultCode.INTERNAL, "the core does not answer");
    }
    return Codecs.json().writeValueAsString(status.get());
  }
}
