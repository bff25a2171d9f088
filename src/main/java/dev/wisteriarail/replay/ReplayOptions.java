package dev.wisteriarail.replay;

import dev.wisteriarail.core.Timings;
import dev.wisteriarail.core.placement.PlacementPolicy;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Function;

/**
 * How a trace is replayed.
 *
 * @param policyName the policy's name in the result
 * @param policy makes the policy, given the arrivals to come
 * @param nodes number of nodes
 * @param faults faults during the replay
 * @param coldStartWeight override of the deployment's weight
 * @param timings the nodes' intervals
 * @param drainLimit longest time after the last arrival until open requests count as lost
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

  /** Returns the options of a fault-free replay. */
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

  /** Returns the same options with faults. */
  public ReplayOptions withFaults(List<FaultLine> newFaults) {
    return new ReplayOptions(
        policyName, policy, nodes, newFaults, coldStartWeight, timings, drainLimit);
  }

  /** Returns the same options with another number of nodes. */
  public ReplayOptions withNodes(int newNodes) {
    return new ReplayOptions(
        policyName, policy, newNodes, faults, coldStartWeight, timings, drainLimit);
  }

  /** Returns the same options with another weight of the deployment. */
  public ReplayOptions withColdStartWeight(double weight) {
    return new ReplayOptions(
        policyName, policy, nodes, faults, OptionalDouble.of(weight), timings, drainLimit);
  }
}
