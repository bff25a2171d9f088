package dev.wisteriarail.replay;

import dev.wisteriarail.core.placement.PlacementPolicy;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

/** Finds placement policies by their names on the command line. */
public final class ReplayPolicies {

  /** Name of the policy that knows future arrivals. */
  public static final String CLAIRVOYANT = "clairvoyant";

  private ReplayPolicies() {}

  /**
   * Returns a factory for the named policy, which gets the arrivals of the trace.
   *
   * @param idle idle time after which the fixed-timeout policy unloads
   * @throws SettingsException if the name is unknown
   */
  public static Function<TraceArrivals, PlacementPolicy> find(String name, Duration idle)
      throws SettingsException {
    if (name.equals(CLAIRVOYANT)) {
      return PlacementPolicy.Clairvoyant::new;
    }
    Optional<PlacementPolicy> policy = PlacementPolicy.named(name, idle);
    if (policy.isEmpty()) {
      throw new SettingsException(
          ResultCode.PLACEMENT_POLICY_UNKNOWN,
          "--policy",
          "no policy named " + name + "; use default, fixed-timeout, lru or clairvoyant");
    }
    return arrivals -> policy.get();
  }
}
