package dev.wisteriarail.standin;

import dev.wisteriarail.core.result.SettingsException;
import java.time.Duration;

/**
 * Settings of a gateway node that runs on loopback against the platform stand-in. Immutable.
 *
 * @param name the node's identifier
 * @param callerPort port for callers
 * @param balancerPort port of the readiness check for load balancers
 * @param peerPort port for other nodes
 * @param metricsPort port for metrics
 * @param announced address that the node announces to other nodes, as host and port
 * @param store the store's address, as host and port
 * @param handover pause between the orders of two nodes to one runner
 * @param fencesEnforced whether runners refuse orders with an old fencing number
 * @param retryRatio retries allowed per request
 * @param stopLimit time from SIGTERM until the process must end; written in whole seconds
 */
public record LoopbackSettings(
    String name,
    int callerPort,
    int balancerPort,
    int peerPort,
    int metricsPort,
    String announced,
    String store,
    Duration handover,
    boolean fencesEnforced,
    double retryRatio,
    Duration stopLimit) {

  /** Time that a node has to finish its requests after SIGTERM; a request takes far less. */
  private static final Duration DEFAULT_STOP_LIMIT = Duration.ofSeconds(4);

  private static final double DEFAULT_RETRY_RATIO = 0.2;

  /** Short, so that another node starts to send orders soon after the coordinator is gone. */
  private static final Duration DEFAULT_HANDOVER = Duration.ofSeconds(1);

  /**
   * Returns settings with free ports.
   *
   * @throws SettingsException if no port is free
   */
  public static LoopbackSettings of(String name, String store) throws SettingsException {
    int peerPort = FreePorts.next();
    return new LoopbackSettings(
        name,
        FreePorts.next(),
        FreePorts.next(),
        peerPort,
        FreePorts.next(),
        "127.0.0.1:" + peerPort,
        store,
        DEFAULT_HANDOVER,
        true,
        DEFAULT_RETRY_RATIO,
        DEFAULT_STOP_LIMIT);
  }

  /** Returns a copy with other addresses for the node itself and for the store. */
  public LoopbackSettings withAddresses(String newAnnounced, String newStore) {
    return with(newAnnounced, newStore, handover, fencesEnforced, retryRatio, stopLimit);
  }

  /** Returns a copy with another ratio of retries. */
  public LoopbackSettings withRetryRatio(double newRatio) {
    return with(announced, store, handover, fencesEnforced, newRatio, stopLimit);
  }

  /** Returns a copy for runners that check no fencing numbers, with another handover pause. */
  public LoopbackSettings withUncheckedFences(Duration newHandover) {
    return with(announced, store, newHandover, false, retryRatio, stopLimit);
  }

  /** Returns a copy with another stop limit. */
  public LoopbackSettings withStopLimit(Duration newLimit) {
    return with(announced, store, handover, fencesEnforced, retryRatio, newLimit);
  }

  private LoopbackSettings with(
      String newAnnounced,
      String newStore,
      Duration newHandover,
      boolean newFencesEnforced,
      double newRatio,
      Duration newLimit) {
    return new LoopbackSettings(
        name,
        callerPort,
        balancerPort,
        peerPort,
        metricsPort,
        newAnnounced,
        newStore,
        newHandover,
        newFencesEnforced,
        newRatio,
        newLimit);
  }

  /** Returns the settings as TOML. */
  public String toml() {
    return String.join(
        "\n",
        "[node]",
        "id = \"" + name + "\"",
        "failure_domain = \"a\"",
        "drain_limit_s = " + stopLimit.toSeconds(),
        "[gateway]",
        "callers = \"127.0.0.1:" + callerPort + "\"",
        "balancer = \"127.0.0.1:" + balancerPort + "\"",
        "peers = \"127.0.0.1:" + peerPort + "\"",
        "announced = \"" + announced + "\"",
        "metrics = \"127.0.0.1:" + metricsPort + "\"",
        "[store]",
        "address = \"" + store + "\"",
        "[orders]",
        "handover_ms = " + handover.toMillis(),
        "fences_enforced = " + fencesEnforced,
        "[retries]",
        "ratio = " + retryRatio,
        "");
  }
}
