package dev.wisteriarail.replay;

import dev.wisteriarail.core.Timings;
import dev.wisteriarail.core.placement.PlacementPolicy;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Function;

/**
 * Options of a replay.
 *
 * @param policyName the policy's name in the result
 * @param policy creates the policy from the arrivals of the trace
 * @param nodes number of nodes
 * @param faults faults during the replay
 * @param coldStartWeight override of the deployment's cold-start weight
 * @param timings the nodes' intervals
 * @param drainLimit time after the last arrival at which open requests count as lost
 */
public record ReplayOptions(
    String policyName,
    Function<TraceArrivals, PlacementPolicy> policy,
    int nodes,
    List<FaultLine> faults,
    OptionalDouble coldStartWeight,
    Timings timings,
    Duration drainLimit) {

  private static final int DEFAULT_NODES = 3;
  private static final Duration DEFAULT_DRAIN_LIMIT = Duration.ofHours(8);

  /** Copies the list. */
  public ReplayOptions {
    faults = List.copyOf(faults);
  }

  /** Returns default options, without faults. */
  public static ReplayOptions of(
      String policyName, Function<TraceArrivals, PlacementPolicy> policy) {
    return new ReplayOptions(
        policyName,
        policy,
        DEFAULT_NODES,
        List.of(),
        OptionalDouble.empty(),
        Timings.DEFAULT,
        DEFAULT_DRAIN_LIMIT);
  }

  /** Returns a copy with the given faults. */
  public ReplayOptions withFaults(List<FaultLine> newFaults) {
    return new ReplayOptions(
        policyName, policy, nodes, newFaults, coldStartWeight, timings, drainLimit);
  }

  /** Returns a copy with another number of nodes. */
  public ReplayOptions withNodes(int newNodes) {
    return new ReplayOptions(
        policyName, policy, newNodes, faults, coldStartWeight, timings, drainLimit);
  }

  /** Returns a copy that overrides the deployment's cold-start weight. */
  public ReplayOptions withColdStartWeight(double weight) {
    return new ReplayOptions(
        policyName, policy, nodes, faults, OptionalDouble.of(weight), timings, drainLimit);
  }
}
