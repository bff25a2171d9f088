package dev.wisteriarail.replay;

import dev.wisteriarail.core.placement.PlacementPolicy;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

/** The policies by the names that the command line takes. */
public final class ReplayPolicies {

  /** The policy that knows the arrivals to come. */
  public static final String CLAIRVOYANT = "clairvoyant";

  private ReplayPolicies() {}

  /**
   * Returns the policy of a name.
   *
   * @param idle the idle time of the fixed time-out
   * @throws SettingsException if there is no such policy
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
          "no policy named " + name + "; take default, fixed-timeout, lru or clairvoyant");
    }
    return foresight -> policy.get();
  }
}
