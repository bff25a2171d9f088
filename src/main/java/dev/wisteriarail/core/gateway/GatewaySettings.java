package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.FleetTimings;
import dev.wisteriarail.core.fleet.NodeAddress;
import java.time.Duration;
import java.util.List;

/**
 * What a gateway's core is set to.
 *
 * @param self this node's address for its peers
 * @param domain its failure domain
 * @param seeds addresses of some nodes, which may be stale, as host and port
 * @param timings intervals of the duties that nodes share
 * @param retryWindow window in which repeats are counted
 * @param retryRatio repeats allowed for each request in the window
 * @param retrySlack repeats of the whole fleet that are allowed besides
 * @param drainGrace time after a stop request until the process has to end
 */
public record GatewaySettings(
    NodeAddress self,
    String domain,
    List<String> seeds,
    FleetTimings timings,
    Duration retryWindow,
    double retryRatio,
    double retrySlack,
    Duration drainGrace) {

  /** Copies the list. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
  }
}
