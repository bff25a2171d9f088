package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.FleetTimings;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.forward.LoadBalance;
import dev.wisteriarail.core.forward.LoadSettings;
import dev.wisteriarail.core.forward.RetryLimits;
import dev.wisteriarail.core.tenant.AllowanceLimits;
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
 * @param allowances what is tolerated beyond the allowances of tenants
 * @param balance the rule that selects runners
 * @param drainGrace time after a stop request until the process must have exited
 * @param revocation how long API keys are believed without word of the store
 * @param load how requests are queued and distributed under load
 */
public record GatewaySettings(
    NodeAddress self,
    String domain,
    List<String> seeds,
    FleetTimings timings,
    RetryLimits retries,
    AllowanceLimits allowances,
    LoadBalance balance,
    Duration drainGrace,
    RevocationRule revocation,
    LoadSettings load) {

  /** Copies the list of seeds. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
  }

  /**
   * Creates settings under which the configuration decides about the behaviour under load, of a
   * deployment whose nodes never refuse by the age of the configuration.
   */
  public GatewaySettings(
      NodeAddress self,
      String domain,
      List<String> seeds,
      FleetTimings timings,
      RetryLimits retries,
      AllowanceLimits allowances,
      Duration drainGrace) {
    this(
        self,
        domain,
        seeds,
        timings,
        retries,
        allowances,
        LoadBalance.DEFAULT,
        drainGrace,
        RevocationRule.DEFAULT,
        LoadSettings.DEFAULT);
  }
}
