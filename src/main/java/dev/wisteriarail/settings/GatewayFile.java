package dev.wisteriarail.settings;

import dev.wisteriarail.core.fleet.FleetTimings;
import dev.wisteriarail.core.forward.LoadBalance;
import dev.wisteriarail.core.forward.LoadSettings;
import dev.wisteriarail.core.forward.RetryLimits;
import dev.wisteriarail.core.gateway.RevocationRule;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.core.tenant.AllowanceLimits;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The settings file of a gateway node, which forwards opaque requests on a platform with its own
 * store. docs/SETTINGS.md describes each key.
 *
 * @param node the node's name
 * @param milliCores processor capacity of its VM, in thousandths of a core; 0 if not set
 * @param linkMbps bandwidth of its VM's link in Mbit/s; nodes with faster links are preferred as
 *     coordinator
 * @param failureDomain the failure domain of its VM
 * @param callers address on which it serves callers
 * @param balancer address of the readiness check for the load balancer
 * @param peers address on which it listens for other nodes
 * @param announced address under which other nodes reach it, which may differ from {@code peers}
 * @param metrics address on which it serves its metrics; empty to serve none
 * @param seeds addresses of some nodes as host and port; some may be stale
 * @param storeAddress address of the platform's store, as host and port
 * @param timings intervals and timeouts of coordination between nodes
 * @param retries limits on the retries that all nodes send
 * @param allowances what is tolerated beyond the allowances of tenants
 * @param balance the rule that selects runners
 * @param drainLimit time after a stop request until the process has to end
 * @param revocation how long API keys are believed without word of the store
 * @param memory the limit on held bytes; empty to hold bytes without a limit and to read a response
 *     only as fast as its caller does
 * @param load how requests are queued and distributed under load
 */
public record GatewayFile(
    NodeId node,
    int linkMbps,
    int milliCores,
    FailureDomain failureDomain,
    Endpoint callers,
    Endpoint balancer,
    Endpoint peers,
    Endpoint announced,
    Optional<Endpoint> metrics,
    List<String> seeds,
    String storeAddress,
    FleetTimings timings,
    RetryLimits retries,
    AllowanceLimits allowances,
    LoadBalance balance,
    Duration drainLimit,
    RevocationRule revocation,
    Optional<MemorySettings> memory,
    LoadSettings load) {

  /** Default time within which every node must know that a runner is leaving. */
  private static final Duration DEFAULT_LEAVE_BOUND = Duration.ofSeconds(2);

  /** Copies the list. */
  public GatewayFile {
    seeds = List.copyOf(seeds);
  }

  /** Returns whether a settings file is that of a gateway node. */
  public static boolean isGatewayFile(TomlDocument toml) {
    return toml.contains("gateway.callers");
  }

  /**
   * Reads and checks a settings file.
   *
   * @throws SettingsException with every problem that the file has
   */
  public static GatewayFile read(Path path) throws SettingsException {
    return from(TomlDocument.read(path));
  }

  /**
   * Checks a parsed settings file.
   *
   * @throws SettingsException with every problem that the file has
   */
  public static GatewayFile from(TomlDocument toml) throws SettingsException {
    GatewayFile file =
        new GatewayFile(
            NodeId.of(toml.text("node.id")),
            (int) toml.number("node.link_mbps", 0, 1_000_000, 1_000),
            milliCores(toml),
            FailureDomain.of(toml.text("node.failure_domain")),
            endpoint(toml, "gateway.callers"),
            endpoint(toml, "gateway.balancer"),
            endpoint(toml, "gateway.peers"),
            endpoint(
                toml, toml.contains("gateway.announced") ? "gateway.announced" : "gateway.peers"),
            toml.contains("gateway.metrics")
                ? Optional.of(endpoint(toml, "gateway.metrics"))
                : Optional.empty(),
            toml.texts("gateway.seeds"),
            toml.text("store.address"),
            timings(toml),
            new RetryLimits(
                seconds(toml, "retries.window_s", 10),
                toml.number("retries.ratio", 0, 10, 0.2),
                toml.number("retries.slack", 0, 100_000, 50)),
            allowances(toml),
            balance(toml),
            seconds(toml, "node.drain_limit_s", 8),
            revocation(toml),
            MemorySettings.from(toml),
            new LoadSettings(toml.flag("load.urgent_queue", false)));
    toml.check();
    return file;
  }

  private static RevocationRule revocation(TomlDocument toml) {
    RevocationRule defaults = RevocationRule.DEFAULT;
    return new RevocationRule(
        toml.flag("tenants.revoke_fail_closed", defaults.failClosed()),
        toml.millis("tenants.revoke_ms", defaults.bound()));
  }

  private static int milliCores(TomlDocument toml) {
    double share = toml.number("node.processor_share", 0, 1_000, 0);
    double speed = toml.number("node.processor_cores", 0, 1_000, 1);
    return (int) Math.round(share * speed * 1_000);
  }

  /** Returns the keys that differ from those of another file and take effect on a reload. */
  public List<String> changedReloadableKeys(GatewayFile other) {
    List<String> keys = new ArrayList<>();
    add(keys, "retries.window_s", !retries.window().equals(other.retries.window()));
    add(keys, "retries.ratio", retries.ratio() != other.retries.ratio());
    add(keys, "retries.slack", retries.slack() != other.retries.slack());
    add(keys, "node.drain_limit_s", !drainLimit.equals(other.drainLimit));
    add(
        keys,
        "tenants.revoke_fail_closed",
        revocation.failClosed() != other.revocation.failClosed());
    add(keys, "tenants.revoke_ms", !revocation.bound().equals(other.revocation.bound()));
    add(keys, "load.urgent_queue", load.urgentQueue() != other.load.urgentQueue());
    return keys;
  }

  /**
   * Returns the tables that differ from those of another file and take effect on a restart only.
   */
  public List<String> changedTablesRequiringRestart(GatewayFile other) {
    List<String> tables = new ArrayList<>();
    add(
        tables,
        "node",
        !node.equals(other.node)
            || linkMbps != other.linkMbps
            || milliCores != other.milliCores
            || !failureDomain.equals(other.failureDomain));
    boolean sameAddresses =
        callers.equals(other.callers)
            && balancer.equals(other.balancer)
            && peers.equals(other.peers)
            && announced.equals(other.announced)
            && metrics.equals(other.metrics)
            && seeds.equals(other.seeds);
    add(tables, "gateway", !sameAddresses);
    add(tables, "store", !storeAddress.equals(other.storeAddress));
    add(tables, "allowances", !allowances.equals(other.allowances));
    add(tables, "load", balance != other.balance);
    add(tables, "orders", !timings.equals(other.timings));
    add(tables, "memory", !memory.equals(other.memory));
    return tables;
  }

  private static void add(List<String> names, String name, boolean changed) {
    if (changed) {
      names.add(name);
    }
  }

  private static FleetTimings timings(TomlDocument toml) {
    FleetTimings defaults = FleetTimings.DEFAULT;
    return defaults
        .withOrders(
            toml.millis("orders.handover_ms", defaults.handoverDelay()),
            toml.flag("orders.fences_enforced", defaults.fencingEnforced()))
        .withLeaveBound(toml.millis("runners.leave_within_ms", DEFAULT_LEAVE_BOUND));
  }

  private static AllowanceLimits allowances(TomlDocument toml) {
    AllowanceLimits defaults = AllowanceLimits.DEFAULT;
    return new AllowanceLimits(
        seconds(toml, "allowances.window_s", (double) defaults.window().toSeconds()),
        toml.number("allowances.overage", 0, 10, defaults.overage()),
        toml.number("allowances.slack", 0, 1e12, defaults.slack()));
  }

  private static LoadBalance balance(TomlDocument toml) {
    String path = "load.balance";
    if (!toml.contains(path)) {
      return LoadBalance.DEFAULT;
    }
    return switch (toml.text(path)) {
      case "even" -> LoadBalance.EVEN;
      case "least" -> LoadBalance.LEAST;
      default -> {
        toml.addProblem(path, "an unknown rule", "write \"even\" or \"least\"");
        yield LoadBalance.DEFAULT;
      }
    };
  }

  private static Duration seconds(TomlDocument toml, String path, double defaultValue) {
    return Duration.ofMillis(Math.round(1000 * toml.number(path, 0.1, 3_600, defaultValue)));
  }

  private static Endpoint endpoint(TomlDocument toml, String path) {
    String text = toml.text(path);
    int colon = text.lastIndexOf(':');
    try {
      return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    } catch (IndexOutOfBoundsException | NumberFormatException malformed) {
      toml.addProblem(path, "an address is required", "write \"IP:PORT\"");
      return new Endpoint("127.0.0.1", 0);
    }
  }
}
