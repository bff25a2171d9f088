package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.FleetTimings;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.forward.LoadSettings;
import dev.wisteriarail.core.forward.RetryLimits;
import java.time.Duration;
import java.util.List;

/**
 * Settings of {@link GatewayCore}.
 *
 * @param self this node's address for its peers
 * @param domain this node's failure domain
 * @param seeds addresses of some nodes as {@code host:port}; they may be outdated
 * @param timings intervals and timeouts of the fleet protocols
 * @param retries limits on the retries of all nodes together
 * @param drainGrace time after a stop request until the process must have exited
 * @param load how requests are queued and distributed under load
 */
public record GatewaySettings(
    NodeAddress self,
    String domain,
    List<String> seeds,
    FleetTimings timings,
    RetryLimits retries,
    Duration drainGrace,
    LoadSettings load) {

  /** Copies the list of seeds. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
  }

  /** Creates settings under which the configuration decides about the behaviour under load. */
  public GatewaySettings(
      NodeAddress self,
      String domain,
      List<String> seeds,
      FleetTimings timings,
      RetryLimits retries,
      Duration drainGrace) {
    this(self, domain, seeds, timings, retries, drainGrace, LoadSettings.DEFAULT);
  }
}
