package dev.wisteriarail.settings;

import dev.wisteriarail.core.fleet.FleetTimings;
import dev.wisteriarail.core.forward.RetryLimits;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.result.SettingsException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The settings of a node that forwards opaque requests on a platform with its own store.
 * docs/SETTINGS.md describes each key.
 *
 * @param node the node's name
 * @param milliCores what its VM's processor gives it, in thousandths of a core; 0 if not set
 * @param linkMbps bandwidth of its VM's link in Mbit/s; nodes with faster links coordinate first
 * @param failureDomain where it stands
 * @param callers where it listens for callers
 * @param balancer where it answers the balancer whether it takes callers
 * @param peers where it listens for other nodes
 * @param announced address that it tells other nodes, as it may be reached through another one
 * @param metrics where it serves its metrics; empty to serve none
 * @param seeds addresses of some nodes, which may be stale, as host and port
 * @param storeAddress address of the platform's store, as host and port
 * @param timings intervals of the duties that nodes share
 * @param retries repeats that all nodes may send
 * @param drainLimit time after a stop request until the process has to end
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
    Duration drainLimit) {

  /** Time in which every node must know that a runner leaves, where the settings name none. */
  private static final Duration DEFAULT_LEAVE_BOUND = Duration.ofSeconds(2);

  /** Copies the list. */
  public GatewayFile {
    seeds = List.copyOf(seeds);
  }

  /** Returns whether a settings file is of this kind. */
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
            seconds(toml, "node.drain_limit_s", 8));
    toml.check();
    return file;
  }

  private static int milliCores(TomlDocument toml) {
    double share = toml.number("node.processor_share", 0, 1_000, 0);
    double speed = toml.number("node.processor_cores", 0, 1_000, 1);
    return (int) Math.round(share * speed * 1_000);
  }

  /** Returns the keys of settings that differ from those of another file and may change at once. */
  public List<String> changedReloadableKeys(GatewayFile other) {
    List<String> keys = new ArrayList<>();
    add(keys, "retries.window_s", !retries.window().equals(other.retries.window()));
    add(keys, "retries.ratio", retries.ratio() != other.retries.ratio());
    add(keys, "retries.slack", retries.slack() != other.retries.slack());
    add(keys, "node.drain_limit_s", !drainLimit.equals(other.drainLimit));
    return keys;
  }

  /** Returns the tables of settings that differ and count from the next start only. */
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
    add(tables, "orders", !timings.equals(other.timings));
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
