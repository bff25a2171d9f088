package dev.wisteriarail.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.util.List;
import java.util.Map;

/**
 * The measures of one replay. docs/design/placement.md defines each.
 *
 * @param deployment the deployment's name
 * @param policy the policy's name
 * @param requests requests of the trace
 * @param served requests that were answered to the end
 * @param refused requests that were refused
 * @param refusedByCode refused requests by result code
 * @param refusedByKind refused requests by kind
 * @param refusedByCustomer refused requests by customer
 * @param lost requests that got no ending
 * @param late requests that were neither dispatched nor refused by their deadline
 * @param coldStarts requests that found no ready replica of their model
 * @param coldStartMs from a cold request's arrival to its dispatch
 * @param modelWaitMs the same over all requests of models, 0 for one that found a ready replica
 * @param firstTokenMs from arrival to the first token at the caller
 * @param idleAcceleratorHours accelerators held by replicas that run no request, times time
 * @param busyAcceleratorHours accelerators held by replicas that run requests, times time
 * @param loads replicas that started to load
 * @param unloads replicas that were unloaded by order
 * @param maxMemoryOvercommitBytes most bytes by which a runner held more than its memory
 * @param extraReplicas most replicas of a model beyond its limit at a time
 */
public record ReplayResult(
    String deployment,
    String policy,
    int requests,
    int served,
    int refused,
    Map<String, Integer> refusedByCode,
    Map<String, Integer> refusedByKind,
    Map<String, Integer> refusedByCustomer,
    int lost,
    int late,
    int coldStarts,
    Percentiles coldStartMs,
    Percentiles modelWaitMs,
    Percentiles firstTokenMs,
    double idleAcceleratorHours,
    double busyAcceleratorHours,
    int loads,
    int unloads,
    long maxMemoryOvercommitBytes,
    int extraReplicas) {

  /** Returns the result as one JSON object, names in snake case. */
  public String toJson() {
    try {
      return JsonLines.mapper().writeValueAsString(this);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Returns the result as lines for a person. */
  public String toText() {
    try {
      return JsonLines.mapper().writer(SerializationFeature.INDENT_OUTPUT).writeValueAsString(this);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /**
   * A result with the samples of its run.
   *
   * @param result the measures
   * @param samples the fleet's state over time
   */
  public record WithTimeline(ReplayResult result, List<TimelineSample> samples) {

    /** Copies the list. */
    public WithTimeline {
      samples = List.copyOf(samples);
    }
  }
}
