package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.FleetTimings;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.forward.RetryLimits;
import java.time.Duration;
import java.util.List;

/**
 * What a gateway's core is set to.
 *
 * @param self this node's address for its peers
 * @param domain its failure domain
 * @param seeds addresses of some nodes, which may be stale, as host and port
 * @param timings intervals of the duties that nodes share
 * @param retries repeats that all nodes may send
 * @param drainGrace time after a stop request until the process has to end
 */
public record GatewaySettings(
    NodeAddress self,
    String domain,
    List<String> seeds,
    FleetTimings timings,
    RetryLimits retries,
    Duration drainGrace) {

  /** Copies the list. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
  }
}
