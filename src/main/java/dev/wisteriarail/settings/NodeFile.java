package dev.wisteriarail.settings;

import dev.wisteriarail.core.Timings;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.placement.PlacementPolicy;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.http.HttpLimits;
import dev.wisteriarail.peer.TlsFiles;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * The settings file of a node. docs/SETTINGS.md describes each key.
 *
 * @param node the node's name
 * @param failureDomain the failure domain of its VM
 * @param cell the cell that it may control
 * @param seed seed of its random number generator
 * @param http address on which it serves callers
 * @param peer address on which it listens for peers
 * @param logAddress base address of the platform's log
 * @param vmListAddress base address of the platform's VM list
 * @param timings its intervals and timeouts
 * @param limits bounds on callers' requests
 * @param peerTls keys and certificates for peers; empty for connections without TLS
 * @param operatorTokenHash SHA-256 of the operators' bearer token; empty to turn the status page
 *     off
 * @param placement the placement policy, which decides how long idle models stay loaded
 * @param drainLimit maximum time that a graceful stop waits for requests in flight
 */
public record NodeFile(
    NodeId node,
    FailureDomain failureDomain,
    CellId cell,
    long seed,
    Endpoint http,
    Endpoint peer,
    String logAddress,
    String vmListAddress,
    Timings timings,
    HttpLimits limits,
    Optional<TlsFiles> peerTls,
    Optional<String> operatorTokenHash,
    PlacementPolicy placement,
    Duration drainLimit) {

  private static final int MAX_PORT = 65_535;
  private static final int DEFAULT_HTTP_PORT = 8_080;
  private static final int DEFAULT_PEER_PORT = 7_070;
  private static final int MAX_BYTES = 64 * 1024 * 1024;
  private static final Duration DEFAULT_DRAIN_LIMIT = Duration.ofMinutes(2);

  /**
   * Reads and checks a settings file.
   *
   * @throws SettingsException with every problem that the file has
   */
  public static NodeFile read(Path path) throws SettingsException {
    return from(TomlDocument.read(path));
  }

  /**
   * Checks a parsed settings file.
   *
   * @throws SettingsException with every problem that the file has
   */
  public static NodeFile from(TomlDocument toml) throws SettingsException {
    NodeFile file =
        new NodeFile(
            NodeId.of(toml.text("node.id")),
            FailureDomain.of(toml.text("node.failure_domain")),
            CellId.of(toml.text("node.cell", "main")),
            toml.integer("node.seed", Long.MIN_VALUE, Long.MAX_VALUE, 1),
            endpoint(toml, "http", DEFAULT_HTTP_PORT),
            endpoint(toml, "peer", DEFAULT_PEER_PORT),
            toml.text("log.address"),
            toml.text("vm_list.address"),
            timings(toml),
            limits(toml),
            peerTls(toml),
            optional(toml, "http.operator_token_sha256"),
            placement(toml),
            toml.millis("node.drain_limit_ms", DEFAULT_DRAIN_LIMIT));
    toml.check();
    return file;
  }

  private static Endpoint endpoint(TomlDocument toml, String table, int defaultPort) {
    return new Endpoint(
        toml.text(table + ".host", "127.0.0.1"),
        (int) toml.integer(table + ".port", 0, MAX_PORT, defaultPort));
  }

  private static PlacementPolicy placement(TomlDocument toml) throws SettingsException {
    Duration idle = toml.millis("placement.idle_timeout_ms", PlacementPolicy.DEFAULT_IDLE_TIMEOUT);
    String name = toml.text("placement.policy", "default");
    return PlacementPolicy.named(name, idle)
        .orElseThrow(
            () ->
                new SettingsException(
                    ResultCode.PLACEMENT_POLICY_UNKNOWN,
                    "placement.policy",
                    "no policy named " + name + "; use default, fixed-timeout or lru"));
  }

  private static Timings timings(TomlDocument toml) {
    Timings defaults = Timings.DEFAULT;
    return new Timings(
        toml.millis("timings.heartbeat_ms", defaults.heartbeat()),
        toml.millis("timings.suspect_after_ms", defaults.suspectAfter()),
        toml.millis("timings.demand_report_ms", defaults.demandReport()),
        toml.millis("timings.plan_ms", defaults.plan()),
        toml.millis("timings.append_retry_ms", defaults.appendRetry()));
  }

  private static Optional<TlsFiles> peerTls(TomlDocument toml) {
    if (!toml.contains("peer.tls")) {
      return Optional.empty();
    }
    return Optional.of(
        new TlsFiles(
            toml.text("peer.tls.key"),
            toml.text("peer.tls.certificate"),
            toml.text("peer.tls.trust"),
            optional(toml, "peer.tls.shared_name")));
  }

  private static Optional<String> optional(TomlDocument toml, String key) {
    return toml.contains(key) ? Optional.of(toml.text(key)) : Optional.empty();
  }

  private static HttpLimits limits(TomlDocument toml) {
    HttpLimits defaults = HttpLimits.DEFAULT;
    return new HttpLimits(
        (int) toml.integer("http.max_body_bytes", 1, MAX_BYTES, defaults.maxBodyBytes()),
        (int) toml.integer("http.max_header_bytes", 1024, MAX_BYTES, defaults.maxHeaderBytes()),
        toml.millis("http.body_timeout_ms", defaults.bodyTimeout()),
        toml.millis("http.idle_timeout_ms", defaults.idleTimeout()),
        (int) toml.integer("http.max_open_requests", 1, 1_000_000, defaults.maxOpenRequests()));
  }
}
